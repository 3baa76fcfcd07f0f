/** Merges the timelines of several processes into one, corrected for the offsets of their clocks. */
import { Clock, Milliseconds, requestJson, TimelineEvent, TimelinePage } from "../internal.js";

/** Limit on a timeline of one process. */
const maximumResponseBytes = 32 * 1024 * 1024;

/** The events of one process, with the offset of its clock from the collector's clock. */
export interface CollectedPage {
    page: TimelinePage;
    offset: Milliseconds;
}

/** An event with its time on the collector's clock. */
export interface MergedEvent extends TimelineEvent {
    correctedTime: Milliseconds;
}

/** Fetches the events of one process. The clock offset assumes that request and response took the same time. */
export const collectPage = async (clock: Clock, address: string, from = 0): Promise<CollectedPage> => {
    const requestedAt = clock.wallTime();
    const response = await requestJson({ address, method: "GET", path: `/events?from=${from}`, maximumResponseBytes });
    const midpoint = (requestedAt + clock.wallTime()) / 2;
    const page = response.value as TimelinePage;
    return { page, offset: page.wallTime - midpoint };
};

/** Merges all events in the order of their corrected times. Events of one process with equal times keep their order. */
export const mergePages = (pages: readonly CollectedPage[]): MergedEvent[] => {
    const events = pages.flatMap(({ page, offset }) =>
        page.events.map(event => ({ ...event, correctedTime: event.wallTime - offset }))
    );
    return events.sort((first, second) =>
        first.correctedTime - second.correctedTime
        || (first.process === second.process ? first.sequence - second.sequence : 0)
    );
};

const describeEvent = (event: MergedEvent): string =>
    [event.part, event.event, event.requestId, event.detail].filter(part => part !== undefined && part !== "").join(
        " ",
    );

/** Formats the events as text, one line per event. */
export const formatTimelineText = (events: readonly MergedEvent[]): string =>
    events.map(event =>
        `${new Date(event.correctedTime).toISOString()} ${event.process.padEnd(12)} ${describeEvent(event)}`
    )
        .join("\n");

const rowHeight = 24;
const labelWidth = 120;
const chartWidth = 1_200;
const dotRadius = 3;

const escapeMarkup = (text: string): string =>
    text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll("\"", "&quot;");

const hueOfPart = (part: string): number =>
    [...part].reduce((sum, character) => sum + character.charCodeAt(0) * 37, 0) % 360;

/** Draws the events as SVG, with one row per process and one dot per event. The dot's title describes the event. */
export const formatTimelineSvg = (events: readonly MergedEvent[]): string => {
    const processes = [...new Set(events.map(event => event.process))].sort();
    const start = events[0]?.correctedTime ?? 0;
    const span = Math.max(1, (events.at(-1)?.correctedTime ?? 0) - start);
    const height = (processes.length + 2) * rowHeight;
    const rows = processes.map((process, row) =>
        `<text x="4" y="${(row + 1) * rowHeight + 4}">${escapeMarkup(process)}</text>`
    );
    const dots = events.map(event => {
        const x = labelWidth + (event.correctedTime - start) / span * chartWidth;
        const y = (processes.indexOf(event.process) + 1) * rowHeight;
        const title = escapeMarkup(`+${Math.round(event.correctedTime - start)} ms ${describeEvent(event)}`);
        return `<circle cx="${x.toFixed(1)}" cy="${y}" r="${dotRadius}" fill="hsl(${hueOfPart(event.part)} 70% 45%)">`
            + `<title>${title}</title></circle>`;
    });
    const axis = `<text x="${labelWidth}" y="${height - 8}">0</text>`
        + `<text x="${labelWidth + chartWidth}" y="${height - 8}" text-anchor="end">${
            (span / 1_000).toFixed(2)
        } s</text>`;
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + chartWidth + 20}" height="${height}" `
        + `font-family="sans-serif" font-size="12">${rows.join("")}${dots.join("")}${axis}</svg>`;
};

/** Formats the events as an HTML page with the drawing and the lines of text below it. */
export const formatTimelineHtml = (events: readonly MergedEvent[]): string =>
    `<!doctype html><meta charset="utf-8"><title>Timeline</title>${formatTimelineSvg(events)}`
    + `<pre>${escapeMarkup(formatTimelineText(events))}</pre>\n`;
