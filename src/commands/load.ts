/** `dandelionramp-load`: sends load to running entries, with optional faults on stand-ins. */
import { Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import { SettingsError, systemClock } from "../internal.js";
import { PromptClass } from "../load/arrivals.js";
import { runExperiment, TimedFault } from "../load/experiment.js";
import { formatLoadReport, summarize } from "../load/report.js";
import { ProgramCommand } from "./program.js";

const failedExitCode = 1;
const mixPattern = /^(\d+):(\d+)$/;
const faultPattern = /^(\d+)@([^@]+)@([A-Za-z]+)(?:=([\d.]+))?$/;

const parseMix = (text: string): PromptClass[] =>
    text.split(",").map(part => {
        const [, promptTokens, weight] = mixPattern.exec(part.trim()) ?? [];
        if (promptTokens === undefined) {
            throw new SettingsError(`--mix: expected tokens:weight, separated by commas, not "${part}"`);
        }
        return { promptTokens: Number(promptTokens), weight: Number(weight) };
    });

const parseFault = (text: string): TimedFault => {
    const [, at, address, fault, value] = faultPattern.exec(text) ?? [];
    if (at === undefined || address === undefined || fault === undefined) {
        throw new SettingsError(`--fault: expected milliseconds@host:port@fault or ...@fault=value, not "${text}"`);
    }
    return { at: Number(at), address, fault, value: Number(value ?? 1) };
};

/** Sends a load, compares every response with the text that the stand-in engines generate, and prints a report. */
export default class LoadCommand extends ProgramCommand {
    static override description =
        "Send a seeded open-loop load and check every response. Exits with 1 unless all are complete and correct.";
    static override examples = [
        "<%= config.bin %> --target 127.0.0.1:8080 --requests 200 --rate 50",
        "<%= config.bin %> --target 127.0.0.1:8080 --target 127.0.0.1:8081 --mix 1000:1000,1000000:20 --exact",
        "<%= config.bin %> --target 127.0.0.1:8080 --requests 500 --rate 50 --fault 3000@127.0.0.1:9101@crash",
    ];
    static override flags = {
        target: Flags.string({
            description: "address of an entry's port for callers; may be given several times",
            multiple: true,
            required: true,
        }),
        key: Flags.string({ description: "customer key", default: "quickstart" }),
        model: Flags.string({ description: "model to request", default: "standin" }),
        requests: Flags.integer({ description: "number of requests", default: 100, min: 1 }),
        rate: Flags.integer({
            description: "mean arrivals per second (Poisson process); 0 sends all at once",
            default: 20,
            min: 0,
        }),
        mix: Flags.string({
            description: "prompt tokens and weight of each class of prompts, as tokens:weight,...",
            default: "1000:1",
        }),
        exact: Flags.boolean({ description: "use the weights of the mix as exact counts and ignore --requests" }),
        "answer-tokens": Flags.integer({ description: "output tokens of each request", default: 32, min: 1 }),
        "timeout-ms": Flags.integer({ description: "deadline of each request", default: 60_000, min: 1 }),
        seed: Flags.integer({ description: "seed of the arrival times and prompt lengths", default: 1 }),
        fault: Flags.string({
            description: "fault to inject into a stand-in: milliseconds@control-address@fault[=value]",
            multiple: true,
        }),
        out: Flags.string({ description: "file to write the report to, as JSON" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(LoadCommand);
        const startedAt = systemClock.now();
        const records = await runExperiment(systemClock, {
            plan: {
                requests: flags.requests,
                ratePerSecond: flags.rate,
                mix: parseMix(flags.mix),
                exact: flags.exact,
                answerTokens: flags["answer-tokens"],
                seed: flags.seed,
            },
            targets: flags.target,
            options: {
                key: flags.key,
                model: flags.model,
                answerTokens: flags["answer-tokens"],
                timeoutMilliseconds: flags["timeout-ms"],
            },
            faults: (flags.fault ?? []).map(parseFault),
        });
        const report = summarize(records, (systemClock.now() - startedAt) / 1_000, flags["timeout-ms"]);
        this.log(formatLoadReport(report));
        if (flags.out !== undefined) {
            writeFileSync(flags.out, `${JSON.stringify(report, undefined, 4)}\n`);
        }
        if (report.outcomes.whole < report.requests) {
            this.exit(failedExitCode);
        }
    }
}
