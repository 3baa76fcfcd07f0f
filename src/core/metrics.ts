/** Counts and histograms of one entry, in the text format that metric collectors read. */
import { build, Histogram } from "hdr-histogram-js";
import { Lane, Milliseconds } from "../internal.js";

const highestMilliseconds = 3_600_000;
const quantiles = [50, 95, 99];

const newHistogram = (): Histogram =>
    build({ lowestDiscernibleValue: 1, highestTrackableValue: highestMilliseconds, numberOfSignificantValueDigits: 2 });

/** Metrics of one entry. */
export class Metrics {
    private readonly counters = new Map<string, number>();
    private readonly firstToken = new Map<Lane, Histogram>([[Lane.Short, newHistogram()], [Lane.Long, newHistogram()]]);

    /** Adds one to a counter; `labels` is a ready label list such as `kind="overloaded"`. */
    count(name: string, labels = ""): void {
        const key = labels === "" ? name : `${name}{${labels}}`;
        this.counters.set(key, (this.counters.get(key) ?? 0) + 1);
    }

    /** Notes a time to first token. */
    firstTokenAfter(lane: Lane, duration: Milliseconds): void {
        this.firstToken.get(lane)?.recordValue(Math.min(highestMilliseconds, Math.max(1, Math.round(duration))));
    }

    /** Everything, with `gauges` of the moment. */
    text(gauges: Record<string, number>): string {
        const lines: string[] = [];
        for (const [key, value] of this.counters) {
            lines.push(`dandelionramp_${key} ${value}`);
        }
        for (const [name, value] of Object.entries(gauges)) {
            lines.push(`dandelionramp_${name} ${value}`);
        }
        for (const [lane, histogram] of this.firstToken) {
            for (const quantile of quantiles) {
                const labels = `lane="${Lane[lane].toLowerCase()}",quantile="${quantile / 100}"`;
                const value = histogram.getValueAtPercentile(quantile);
                lines.push(`dandelionramp_first_token_milliseconds{${labels}} ${value}`);
            }
        }
        return `${lines.join("\n")}\n`;
    }
}
