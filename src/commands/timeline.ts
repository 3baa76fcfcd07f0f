/** `dandelionramp-timeline`: shows the events of all processes on one timeline. */
import { Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import { describeError, systemClock } from "../internal.js";
import { ProgramCommand } from "./program.js";
import {
    CollectedPage,
    collectPage,
    formatTimelineHtml,
    formatTimelineSvg,
    formatTimelineText,
    MergedEvent,
    mergePages,
} from "./timelineMerge.js";

enum Format {
    Text = "text",
    Json = "json",
    Svg = "svg",
    Html = "html",
}

const formatEvents = (format: Format, events: readonly MergedEvent[]): string => {
    switch (format) {
        case Format.Text:
            return `${formatTimelineText(events)}\n`;
        case Format.Json:
            return `${JSON.stringify(events, undefined, 4)}\n`;
        case Format.Svg:
            return formatTimelineSvg(events);
        case Format.Html:
            return formatTimelineHtml(events);
    }
};

/** Collects, merges and prints events. Skips a process that doesn't respond, with a message on standard error. */
export default class TimelineCommand extends ProgramCommand {
    static override description = "Merge the events of all processes into one timeline, corrected for clock offsets.";
    static override examples = [
        "<%= config.bin %> --process 127.0.0.1:8280 --process 127.0.0.1:9101",
        "<%= config.bin %> --process 127.0.0.1:8280 --request 4be1c0de0badf00d",
        "<%= config.bin %> --process 127.0.0.1:8280 --format html --out timeline.html",
    ];
    static override flags = {
        process: Flags.string({
            description:
                "address of an entry's port for operators or of a stand-in's control port; may be given several times",
            multiple: true,
            required: true,
        }),
        request: Flags.string({ description: "show only the events of this request id" }),
        format: Flags.option({ options: Object.values(Format), default: Format.Text, description: "output format" })(),
        out: Flags.string({ description: "file to write to instead of standard output" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(TimelineCommand);
        const pages: CollectedPage[] = [];
        for (const address of flags.process) {
            try {
                pages.push(await collectPage(systemClock, address));
            }
            catch (error) {
                this.logToStderr(`no timeline from ${address}: ${describeError(error)}`);
            }
        }
        const merged = mergePages(pages);
        const events = flags.request === undefined ? merged : merged.filter(event => event.requestId === flags.request);
        const text = formatEvents(flags.format, events);
        if (flags.out !== undefined) {
            writeFileSync(flags.out, text);
            return;
        }
        process.stdout.write(text);
    }
}
