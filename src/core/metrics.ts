/** Counters and duration histograms of one entry, in the Prometheus text format. */
// The package's main module also loads its codecs and number formats, which takes a tenth of the start-up time.
import histogramModule from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Milliseconds } from "../utils/clock.js";

/** One hour. Longer durations are recorded as this one. */
const maximumDurationMilliseconds = 3_600_000;
const quantiles = [50, 95, 99];
/** Precision of the recorded durations. */
const significantDigits = 2;

type HistogramClass = typeof histogramModule.default;
type Histogram = InstanceType<HistogramClass>;
/** Node imports the CommonJS module object; bundlers import its default export. */
const imported = histogramModule as { default?: HistogramClass; };
const Histogram = imported.default ?? imported as HistogramClass;

const newHistogram = (): Histogram => new Histogram(1, maximumDurationMilliseconds, significantDigits);

const seriesKey = (name: string, labels: string): string => labels === "" ? name : `${name}{${labels}}`;

/**
 * Metrics of one entry. Labels are passed in their text form, such as `kind="overloaded"`. Label values must be constants
 * of the code and never callers' input, because each distinct list of labels takes memory until the process ends.
 */
export class Metrics {
    private readonly counters = new Map<string, number>();
    private readonly durations = new Map<
        string,
        { name: string; labels: string; histogram: Histogram; sum: number; }
    >();

    count(name: string, labels = ""): void {
        const key = seriesKey(name, labels);
        this.counters.set(key, (this.counters.get(key) ?? 0) + 1);
    }

    /** Records a duration. `name` ends in its unit, `_milliseconds`. */
    observe(name: string, duration: Milliseconds, labels = ""): void {
        const key = seriesKey(name, labels);
        let series = this.durations.get(key);
        if (!series) {
            series = { name, labels, histogram: newHistogram(), sum: 0 };
            this.durations.set(key, series);
        }
        series.sum += duration;
        series.histogram.recordValue(Math.min(maximumDurationMilliseconds, Math.max(1, Math.round(duration))));
    }

    /** Formats all metrics, with the current values of `gauges`. */
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
                const allLabels = `${labels}${separator}quantile="${quantile / 100}"`;
                lines.push(`dandelionramp_${name}{${allLabels}} ${histogram.getValueAtPercentile(quantile)}`);
            }
            lines.push(`dandelionramp_${seriesKey(`${name}_sum`, labels)} ${Math.round(sum)}`);
            lines.push(`dandelionramp_${seriesKey(`${name}_count`, labels)} ${histogram.totalCount}`);
        }
        return `${lines.join("\n")}\n`;
    }
}
