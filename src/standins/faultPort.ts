/** The control port of a stand-in: faults in, counts out. */
import { describeError, listen, Listener, readBody, requestTarget, sendJson, Timeline } from "../internal.js";

const bodyLimitBytes = 64 * 1024;

/** A fault as it arrives; each stand-in knows its own. */
export interface FaultOrder {
    fault: string;
    /** Meaning depends on the fault: milliseconds, a share, or 0 and 1. */
    value?: number;
}

/** What a stand-in offers on its control port. */
export interface FaultTarget {
    timeline: Timeline;
    /** Carries out a fault. Throws for an unknown one. */
    apply(order: FaultOrder): void;
    /** What the stand-in has counted. */
    counts(): object;
    /** Runs by request id, or by key of a plain service. */
    runs(): Record<string, number>;
}

/** Serves the control port: `POST /faults`, `GET /counts`, `GET /runs`, `GET /events`. */
export const serveFaults = (target: FaultTarget, address: string): Promise<Listener> =>
    listen(address, async (request, response) => {
        const { method, path, query } = requestTarget(request);
        if (path === "/counts") {
            sendJson(response, 200, target.counts());
            return;
        }
        if (path === "/runs") {
            sendJson(response, 200, target.runs());
            return;
        }
        if (path === "/events") {
            sendJson(response, 200, target.timeline.page(Number(query.get("from") ?? 0)));
            return;
        }
        if (path !== "/faults" || method !== "POST") {
            sendJson(response, 404, { error: "expected POST /faults, GET /counts, GET /runs or GET /events" });
            return;
        }
        try {
            const order = JSON.parse((await readBody(request, bodyLimitBytes)).toString("utf8")) as FaultOrder;
            target.apply(order);
            target.timeline.record("faults", order.fault, undefined, String(order.value ?? ""));
            sendJson(response, 200, { applied: order.fault });
        }
        catch (error) {
            sendJson(response, 400, { error: describeError(error) });
        }
    });
