/** `dandelionramp losses`: what requests lost, by reason and by time, from the entries' logs alone. */
import { Args, Flags } from "@oclif/core";
import { readLogFiles } from "../losses/logFiles.js";
import { buildTraces } from "../losses/requestTraces.js";
import { createLossTable, formatLossTable } from "../losses/table.js";
import { describeError } from "../utils/errors.js";
import { SettingsError } from "../utils/settings.js";
import { ProgramCommand } from "./program.js";

/** Reads logs and prints the table. */
export default class LossesCommand extends ProgramCommand {
    static override description =
        "Tell from the logs of all entries which requests were late or lost, when, and for which reason.";
    static override examples = [
        "<%= config.bin %> losses entry-*.log",
        "<%= config.bin %> losses --span 1 entry-1.log",
    ];
    static override strict = false;
    static override args = { log: Args.string({ description: "log files of entries", required: true }) };
    static override flags = {
        span: Flags.integer({ description: "seconds of each row of the table by time", default: 2, min: 1 }),
        json: Flags.boolean({ description: "print JSON" }),
    };

    async run(): Promise<void> {
        const { argv, flags } = await this.parse(LossesCommand);
        const { lines, skipped, dropped } = this.read(argv as string[]);
        const table = createLossTable(buildTraces(lines), flags.span * 1_000);
        this.log(flags.json ? JSON.stringify({ ...table, skipped, dropped }, undefined, 4) : formatLossTable(table));
        if (skipped + dropped > 0 && !flags.json) {
            this.log(`${skipped} lines were no entry's; entries dropped ${dropped} lines.`);
        }
    }

    private read(files: readonly string[]) {
        try {
            return readLogFiles(files);
        }
        catch (error) {
            throw new SettingsError(`the logs can't be read: ${describeError(error)}`, { cause: error });
        }
    }
}
