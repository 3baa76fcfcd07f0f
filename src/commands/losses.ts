/** `dandelionramp losses`: shows late and failed requests by reason and by time, from the entries' logs alone. */
import { Args, Flags } from "@oclif/core";
import { readLogFiles } from "../losses/logFiles.js";
import { buildTraces } from "../losses/requestTraces.js";
import { createLossTable, formatLossTable } from "../losses/table.js";
import { describeError } from "../utils/errors.js";
import { SettingsError } from "../utils/settings.js";
import { ProgramCommand } from "./program.js";

/** Reads log files and prints the table of losses. */
export default class LossesCommand extends ProgramCommand {
    static override description =
        "Show from the logs of all entries which requests were late or failed, when, and for which reason.";
    static override examples = [
        "<%= config.bin %> losses entry-*.log",
        "<%= config.bin %> losses --span 1 entry-1.log",
    ];
    static override strict = false;
    static override args = { log: Args.string({ description: "log files of entries", required: true }) };
    static override flags = {
        span: Flags.integer({
            description: "duration in seconds that each row of the table by time covers",
            default: 2,
            min: 1,
        }),
        json: Flags.boolean({ description: "print as JSON" }),
    };

    async run(): Promise<void> {
        const { argv, flags } = await this.parse(LossesCommand);
        const { lines, skipped, dropped } = this.read(argv as string[]);
        const table = createLossTable(buildTraces(lines), flags.span * 1_000);
        this.log(flags.json ? JSON.stringify({ ...table, skipped, dropped }, undefined, 4) : formatLossTable(table));
        if (skipped + dropped > 0 && !flags.json) {
            this.log(`${skipped} lines aren't log lines of an entry; entries dropped ${dropped} lines.`);
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
