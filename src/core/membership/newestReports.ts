/** Bounds what a heartbeat tells about endpoints, since a heartbeat that exceeds a datagram reaches nobody. */
import type { Milliseconds } from "../../utils/clock.js";

/** Most endpoints of each kind of report in one heartbeat, some 15 kB. */
const maximumReportCount = 160;

/** Returns the newest reports; the others have been told before. */
export const newestReports = <Report extends { age: Milliseconds; }>(reports: Report[]): Report[] =>
    reports.length <= maximumReportCount
        ? reports
        : reports.sort((left, right) => left.age - right.age).slice(0, maximumReportCount);
