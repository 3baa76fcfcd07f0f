import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["__tests__/**/*.test.ts"],
        setupFiles: ["__tests__/support/knownRed.ts"],
        // Simulated time goes as fast as the machine allows; no check depends on this limit.
        testTimeout: 180_000,
        hookTimeout: 60_000,
        // With a worker on each core, beside other load, the workers' calls to vitest itself time out and fail the run.
        maxWorkers: "50%",
    },
});
