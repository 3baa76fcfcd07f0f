/** Draws a replay as a bar chart: for each second, the value of the requests that arrived in it, by outcome. */
import type { ReplayResult } from "./replay.js";
import { earnedValue } from "./replayReport.js";
import { CallerOutcome } from "./simulatedCaller.js";

const width = 1_000;
const height = 400;

const colourByOutcome: Record<CallerOutcome, string> = {
    [CallerOutcome.InTime]: "#3a923a",
    [CallerOutcome.Late]: "#e8b33f",
    [CallerOutcome.Refused]: "#c0504d",
    [CallerOutcome.Failed]: "#7f3f98",
};

/** Draws the chart as SVG. A late request counts with its reduced value. */
export const drawReplaySvg = async (title: string, { records }: ReplayResult): Promise<string> => {
    const { init, use } = await import("echarts/core");
    const { BarChart } = await import("echarts/charts");
    const { GridComponent, LegendComponent, TitleComponent } = await import("echarts/components");
    const { SVGRenderer } = await import("echarts/renderers");
    use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);
    const seconds = 1 + Math.max(0, ...records.map(({ arrival }) => Math.floor(arrival.at / 1_000)));
    const series = Object.values(CallerOutcome).map(outcome => {
        const data = Array.from({ length: seconds }, () => 0);
        for (const record of records) {
            if (record.outcome === outcome) {
                const second = Math.floor(record.arrival.at / 1_000);
                const value = outcome === CallerOutcome.Late ? earnedValue(record) : record.arrival.value;
                data[second] = Math.round((data[second]! + value) * 10) / 10;
            }
        }
        return { name: outcome, type: "bar" as const, stack: "value", color: colourByOutcome[outcome], data };
    });
    // In server-side rendering mode, the library needs no document and renders to a string.
    const chart = init(undefined, undefined, { renderer: "svg", ssr: true, width, height });
    chart.setOption({
        animation: false,
        title: { text: title },
        legend: { top: 28 },
        xAxis: { type: "category", name: "s", data: series[0]!.data.map((...[, second]) => second) },
        yAxis: { type: "value", name: "value" },
        series,
    });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
};
