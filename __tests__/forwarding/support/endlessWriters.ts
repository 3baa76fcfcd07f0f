/** Responses of stand-ins that never end. */
import type { ServerResponse } from "node:http";
import type { ReplicaFault } from "../../../platform/standins/replicaServer.js";

/** Time between two pieces of a stream that drips, in milliseconds. */
const dripInterval = 20;
const blockBytes = 64 * 1024;

/** Blocks as quickly as the connection takes them, or one piece each interval. */
export type Pace = "fast" | "drip";

/** Endpoints that write until their connections are closed, or until the end of the test. */
export class EndlessWriters {
    private readonly responses = new Set<ServerResponse>();

    get count(): number {
        return this.responses.size;
    }

    /** Sends a stream of `piece` without end, in blocks or one piece each interval; its head after `headDelay` milliseconds. */
    fault(piece: string, pace: Pace, headDelay = 0): ReplicaFault {
        const block = Buffer.from(pace === "fast" ? piece.repeat(Math.ceil(blockBytes / piece.length)) : piece);
        return ({ id }, response, replica) => {
            this.responses.add(response);
            response.once("close", () => this.responses.delete(response));
            setTimeout(() => {
                if (!response.destroyed) {
                    response.writeHead(200, { ...replica.responseHeaders(id), "content-type": "text/event-stream" });
                    this.writeNext(response, block, pace);
                }
            }, headDelay);
            return true;
        };
    }

    stop(): void {
        for (const response of this.responses) {
            response.destroy();
        }
    }

    private writeNext(response: ServerResponse, block: Buffer, pace: Pace): void {
        if (response.destroyed) {
            return;
        }
        const isDrained = response.write(block);
        const writeAgain = () => this.writeNext(response, block, pace);
        if (pace === "drip") {
            setTimeout(writeAgain, dripInterval);
        }
        else if (isDrained) {
            setImmediate(writeAgain);
        }
        else {
            response.once("drain", () => setImmediate(writeAgain));
        }
    }
}
