/** Counts and histograms of one entry, in the text format that metric collectors read. */
// The package's own entry also loads its codecs and number formats, a tenth of the time to start.
import histogramModule from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Milliseconds } from "../utils/clock.js";

/** Longer durations count as this long: an hour. */
const highestMilliseconds = 3_600_000;
const quantiles = [50, 95, 99];
/** Of each duration that is kept. */
const significantDigits = 2;

type HistogramClass = typeof histogramModule.default;
type Histogram = InstanceType<HistogramClass>;
/** Node gives the module where bundlers give what it exports as its default. */
const loaded = histogramModule as { default?: HistogramClass; };
const Histogram = loaded.default ?? loaded as HistogramClass;

const newHistogram = (): Histogram => new Histogram(1, highestMilliseconds, significantDigits);

const keyOf = (name: string, labels: string): string => labels === "" ? name : `${name}{${labels}}`;

/**
 * Metrics of one entry. Labels come as a ready list such as `kind="overloaded"`; only words of the code belong there,
 * never what callers sent, since each new list of labels is kept for the life of the process.
 */
export class Metrics {
    private readonly counters = new Map<string, number>();
    private readonly durations = new Map<
        string,
        { name: string; labels: string; histogram: Histogram; sum: number; }
    >();

    /** Adds one to a counter. */
    count(name: string, labels = ""): void {
        const key = keyOf(name, labels);
        this.counters.set(key, (this.counters.get(key) ?? 0) + 1);
    }

    /** Notes a duration; `name` ends in the unit, milliseconds. */
    observe(name: string, duration: Milliseconds, labels = ""): void {
        const key = keyOf(name, labels);
        let kept = this.durations.get(key);
        if (!kept) {
            kept = { name, labels, histogram: newHistogram(), sum: 0 };
            this.durations.set(key, kept);
        }
        kept.sum += duration;
        kept.histogram.recordValue(Math.min(highestMilliseconds, Math.max(1, Math.round(duration))));
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
        for (const { name, labels, histogram, sum } of this.durations.values()) {
            const separator = labels === "" ? "" : ",";
            for (const quantile of quantiles) {
                const all = `${labels}${separator}quantile="${quantile / 100}"`;
                lines.push(`dandelionramp_${name}{${all}} ${histogram.getValueAtPercentile(quantile)}`);
            }
            lines.push(`dandelionramp_${keyOf(`${name}_sum`, labels)} ${Math.round(sum)}`);
            lines.push(`dandelionramp_${keyOf(`${name}_count`, labels)} ${histogram.totalCount}`);
        }
        return `${lines.join("\n")}\n`;
    }
}
