import { defineConfig } from "vitest/config";

/** Tests of crowds of clients: one at a time, after all others, as they observe the memory of a process. */
const crowdTests = "__tests__/clients/**/*.test.ts";

export default defineConfig({
    test: {
        setupFiles: ["__tests__/support/knownRed.ts"],
        // Simulated time goes as fast as the machine allows; no check depends on this limit.
        testTimeout: 180_000,
        hookTimeout: 60_000,
        // With a worker on each core, beside other load, the workers' calls to vitest itself time out and fail the run.
        maxWorkers: "50%",
        projects: [
            {
                extends: true,
                test: {
                    name: "suite",
                    include: ["__tests__/**/*.test.ts"],
                    exclude: [crowdTests],
                    sequence: { groupOrder: 0 },
                },
            },
            {
                extends: true,
                test: {
                    name: "crowds",
                    include: [crowdTests],
                    maxWorkers: 1,
                    minWorkers: 1,
                    fileParallelism: false,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
