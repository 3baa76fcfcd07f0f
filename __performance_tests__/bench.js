// Runs the measurements and rewrites their results in docs/measurements.
// Usage: npm run bench -- [NAME ...]; without names, all measurements run.
import { measureOwnPath } from "./ownPath.js";
import { measureShortBesideLong } from "./shortBesideLong.js";
import { measureSlopes } from "./slopes.js";
import { measureStart } from "./start.js";

const measurements = {
    start: measureStart,
    ownPath: measureOwnPath,
    slopes: measureSlopes,
    shortBesideLong: measureShortBesideLong,
};

const names = process.argv.slice(2);
for (const [name, measure] of Object.entries(measurements)) {
    if (names.length === 0 || names.includes(name)) {
        await measure();
    }
}
