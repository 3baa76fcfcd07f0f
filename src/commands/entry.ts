/** `dandelionramp-entry`: runs an entry, the one long-lived process on an instance. */
import { Flags } from "@oclif/core";
import { entrySettingsSchema, readSettings, startEntry, systemClock, systemRandom } from "../internal.js";
import { ProgramCommand, waitForStopSignal } from "./program.js";

/** Runs an entry until SIGTERM or SIGINT, then drains it. */
export default class EntryCommand extends ProgramCommand {
    static override description =
        "Run one entry, with separate ports for callers, peers and operators. SIGTERM drains it.";
    static override examples = ["<%= config.bin %> --settings examples/local/entry-1.ini"];
    static override flags = {
        settings: Flags.string({ description: "settings file in INI format", required: true }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(EntryCommand);
        const settings = readSettings(flags.settings, entrySettingsSchema);
        const entry = await startEntry(settings, systemClock, systemRandom);
        await waitForStopSignal();
        await entry.drain();
        this.exit(0);
    }
}
