/** Control port of a stand-in. Sets faults and returns counts, runs and timeline events. */
import { describeError, listen, Listener, readBody, requestTarget, sendJson, Timeline } from "../internal.js";

const bodyLimitBytes = 64 * 1024;

/** A fault to apply. Each stand-in supports its own set of faults. */
export interface FaultOrder {
    fault: string;
    /** Milliseconds, a count, a rate, a share, a revision, or 0 and 1, depending on the fault. */
    value?: number;
}

/** Operations of a stand-in that its control port exposes. */
export interface FaultTarget {
    timeline: Timeline;
    /** Applies a fault. Throws if the fault is unknown. */
    apply(order: FaultOrder): void;
    /** Returns the counters of the stand-in. */
    counts(): object;
    /** Returns the number of runs by request identifier, or by idempotency key for a plain service. */
    runs(): Record<string, number>;
}

/** Serves the control port: `POST /faults`, `GET /counts`, `GET /runs`, `GET /events`. */
export const serveControlPort = (target: FaultTarget, address: string): Promise<Listener> =>
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
