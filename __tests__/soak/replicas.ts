/** Replicas of a soak: each answers as the request's target says, and reports to the checker what it has run. */
import type { ServerResponse } from "node:http";
import type { ReplicaArrival, ReplicaServer } from "../../platform/standins/replicaServer.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import type { Checker } from "./checker.js";
import { type AnswerPlan, bytesNaming, readAnswerPlan } from "./requests.js";

/** A replica, which can be silent for a while. */
export class SoakReplica {
    private readonly runRecorders = new Map<string, () => void>();
    private silentUntil: Milliseconds = -Infinity;

    constructor(private readonly server: ReplicaServer, checker: Checker) {
        server.fault = (arrival, response) => {
            // The server would keep all bodies until the end of the soak.
            server.arrivals.length = 0;
            const recordRun = checker.recordArrival(arrival, response, server.id);
            if (readAnswerPlan(arrival.target).events > 0) {
                // The server's engine makes the stream, unless it is full.
                this.runRecorders.set(arrival.id, recordRun);
                return false;
            }
            recordRun();
            void this.answer(arrival, response);
            return true;
        };
        server.recordRun = id => this.runRecorders.get(id)?.();
    }

    /** Sends nothing for `duration` and keeps all connections. */
    beSilent(duration: Milliseconds): void {
        this.silentUntil = systemClock.now() + duration;
        this.server.pause(duration);
    }

    private async pass(duration: Milliseconds): Promise<void> {
        await systemClock.sleep(duration);
        while (systemClock.now() < this.silentUntil) {
            await systemClock.sleep(this.silentUntil - systemClock.now());
        }
    }

    private async answer(arrival: ReplicaArrival, response: ServerResponse): Promise<void> {
        const plan = readAnswerPlan(arrival.target);
        await this.pass(plan.work);
        if (response.destroyed) {
            return;
        }
        await this.sendBody(arrival, response, plan);
        response.end();
    }

    private async sendBody(arrival: ReplicaArrival, response: ServerResponse, plan: AnswerPlan): Promise<void> {
        const body = bytesNaming(arrival.id, plan.bytes);
        const headers = this.server.responseHeaders(arrival.id);
        if (plan.isFramed) {
            response.writeHead(200, { ...headers, "content-length": body.length });
        }
        else {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(200, headers);
        }
        const middle = Math.floor(body.length / 2);
        response.write(body.subarray(0, middle));
        if (plan.pause > 0) {
            await this.pass(plan.pause);
        }
        response.write(body.subarray(middle));
    }
}
