/** `dandelionramp-load replay`: replays a load pattern through the entries' own code, in simulated time. */
import { Args, Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import path from "node:path";
import { PartSwitch, type SchedulingSettings } from "../core/scheduling/schedulingPolicy.js";
import { readPattern } from "../replay/pattern.js";
import { replay, type ReplayOptions, type ReplayResult } from "../replay/replay.js";
import { drawReplaySvg } from "../replay/replayPlot.js";
import { createReplayReport, formatReplayReport } from "../replay/replayReport.js";
import { PlacementPolicy } from "../types/routing.js";
import { ProgramCommand } from "./program.js";

/** Simpler placement strategies that a replay can be compared with. */
enum Baseline {
    LeastOutstanding = "leastOutstanding",
    /** Entries don't publish their placements to one another. */
    UnsharedLoads = "ownView",
    /** All optional parts of the scheduling are off. */
    WithoutScheduling = "withoutScheduling",
}

const withoutScheduling: SchedulingSettings = {
    ranks: PartSwitch.Off,
    waitQueue: PartSwitch.Off,
    coldGrants: PartSwitch.Off,
    heartbeatDigests: PartSwitch.Off,
    slowReaders: PartSwitch.Off,
};

const createBaselineOptions = (baseline: Baseline): Partial<ReplayOptions> => {
    switch (baseline) {
        case Baseline.LeastOutstanding:
            return { policy: PlacementPolicy.LeastOutstanding };
        case Baseline.UnsharedLoads:
            return { sharesLoads: false };
        case Baseline.WithoutScheduling:
            return { scheduling: withoutScheduling };
    }
};

/** Replays a pattern and prints a report. The same seeds give the same report. */
export default class ReplayCommand extends ProgramCommand {
    static override description =
        "Replay a load pattern through the production code of the entries, in simulated time and without sockets.";
    static override examples = [
        "<%= config.bin %> replay examples/patterns/turning-mix.ini --seeds 5",
        "<%= config.bin %> replay examples/patterns/endpoints-lost.ini --baseline leastOutstanding --plot lost.svg",
    ];
    static override args = { pattern: Args.string({ description: "pattern file in INI format", required: true }) };
    static override flags = {
        seeds: Flags.integer({ description: "number of seeds to replay", default: 1, min: 1 }),
        seed: Flags.integer({ description: "the first seed", default: 1, min: 0 }),
        entries: Flags.integer({ description: "number of entries; overrides the pattern", min: 1 }),
        baseline: Flags.option({
            options: Object.values(Baseline),
            description: "also replay with a simpler placement strategy, for comparison",
        })(),
        plot: Flags.string({ description: "file to write a chart of the first seed to, as SVG" }),
        json: Flags.boolean({ description: "print as JSON" }),
    };

    async run(): Promise<void> {
        const { args, flags } = await this.parse(ReplayCommand);
        const pattern = readPattern(args.pattern);
        const runSeeds = async (changes: Partial<ReplayOptions>): Promise<ReplayResult[]> => {
            const results: ReplayResult[] = [];
            for (let index = 0; index < flags.seeds; index++) {
                results.push(await replay(pattern, { seed: flags.seed + index, entries: flags.entries, ...changes }));
            }
            return results;
        };
        const results = await runSeeds({});
        const report = createReplayReport(results);
        const baselineReport = flags.baseline
            && createReplayReport(await runSeeds(createBaselineOptions(flags.baseline)));
        if (flags.json) {
            this.log(JSON.stringify({ report, baseline: baselineReport }, undefined, 4));
        }
        else {
            this.log(formatReplayReport(report));
            if (baselineReport) {
                this.log(`\n${flags.baseline}:\n${formatReplayReport(baselineReport)}`);
            }
        }
        if (flags.plot !== undefined) {
            writeFileSync(flags.plot, await drawReplaySvg(path.basename(args.pattern, ".ini"), results[0]!));
        }
    }
}

/** Subcommands of `dandelionramp-load`. */
export const commands = { replay: ReplayCommand };
