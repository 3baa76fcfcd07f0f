/** A client of a soak. It uses its connection until the connection or the process behind it is gone, and then opens another. */
import http from "node:http";
import type { Socket } from "node:net";
import { splitAddress } from "../../src/utils/address.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import { generation } from "../forwarding/support/site.js";
import type { Checker, Outcome, RequestRecord } from "./checker.js";
import type { Balancer, SoakEntry } from "./entries.js";
import type { Draw } from "./plan.js";
import { drawRequest, type SoakRequest, tokensPerEvent } from "./requests.js";

const blockBytes = 64 * 1024;
const clientDeadline: Milliseconds = 15_000;
/** A client gives up this long after its deadline. */
const patience: Milliseconds = 1_000;
const promptTokens = 1_000;
const usualPause: Milliseconds = 100;
const reconnectDelay: Milliseconds = 30;

/** What the clients of a site share. */
export interface ClientContext {
    balancer: Balancer;
    checker: Checker;
    /** Longest time for which a client may leave its connection idle. */
    longestIdle: () => Milliseconds;
}

/** A client with at most one request at a time. */
export class SoakClient {
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    /** The entry at the other end of the kept connection. */
    private entry: SoakEntry | undefined;
    private readonly lifeBySocket = new WeakMap<Socket, SoakEntry["life"]>();

    constructor(private readonly context: ClientContext, private readonly draw: Draw) {}

    /** Sends one request after another until `signal` aborts, and ends the last one. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.entry ??= this.context.balancer.pick(this.draw);
            const outcome = await this.send(drawRequest(this.draw), this.entry);
            if (outcome.type === "NotConnected") {
                this.entry = undefined;
                await systemClock.sleep(reconnectDelay);
            }
            const isIdle = this.draw.chance(0.05);
            const longest = isIdle ? this.context.longestIdle() : usualPause;
            await systemClock.sleep(this.draw.between(0, longest), signal);
        }
        this.agent.destroy();
    }

    private async send(request: SoakRequest, entry: SoakEntry): Promise<Outcome> {
        const record = this.context.checker.recordSent(request);
        const headers: http.OutgoingHttpHeaders = {
            host: "desk.example",
            "dandelionramp-request-id": request.id,
            authorization: `Bearer ${request.key}`,
            "dandelionramp-deadline-ms": String(clientDeadline),
            ...(request.answer.events > 0 ? generation(promptTokens, request.answer.events * tokensPerEvent) : {}),
            ...(request.isChunked ? {} : { "content-length": request.body.length }),
        };
        const address = splitAddress(entry.ports.callers);
        const sent = http.request({
            ...address,
            agent: this.agent,
            method: request.method,
            path: request.target,
            headers,
        });
        const outcome = readOutcome(sent, request);
        this.follow(sent, record, entry);
        void sendBody(sent, request);
        const ended = await outcome;
        this.context.checker.recordEnd(record, ended);
        return ended;
    }

    /** Records the connection of a request, and when it closes. */
    private follow(sent: http.ClientRequest, record: RequestRecord, entry: SoakEntry): void {
        sent.once("finish", () => {
            record.lastByteAt = systemClock.now();
        });
        sent.once("socket", socket => {
            if (!socket.connecting) {
                record.isOnKeptConnection = true;
                record.life = this.lifeBySocket.get(socket);
                return;
            }
            socket.once("connect", () => {
                record.life = entry.life;
                this.lifeBySocket.set(socket, entry.life);
            });
            socket.once("close", () => {
                this.entry = undefined;
            });
        });
    }
}

/** Sends the body block by block until it is sent or the request has ended. */
const sendBody = async (sent: http.ClientRequest, { body, sendPause }: SoakRequest): Promise<void> => {
    const closed = new Promise<void>(resolve => sent.once("close", resolve));
    for (let start = 0; start < body.length && !sent.destroyed; start += blockBytes) {
        const isTaken = sent.write(body.subarray(start, start + blockBytes));
        if (!isTaken) {
            await Promise.race([closed, new Promise(resolve => sent.once("drain", resolve))]);
        }
        if (sendPause > 0) {
            await systemClock.sleep(sendPause);
        }
    }
    if (!sent.destroyed) {
        sent.end();
    }
};

/** Reads a response, pausing as the request says. */
const readResponse = (
    response: http.IncomingMessage,
    { readPause }: SoakRequest,
    resolve: (outcome: Outcome) => void,
): void => {
    const chunks: Buffer[] = [];
    const { statusCode: status = 0, headers } = response;
    response.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        if (readPause > 0) {
            response.pause();
            setTimeout(() => response.resume(), readPause);
        }
    });
    const finish = (reason: string) => {
        const body = Buffer.concat(chunks);
        resolve(
            response.complete
                ? {
                    type: "Whole",
                    status,
                    body,
                    isSigned: headers["dandelionramp-response-signature"] !== undefined,
                    answeredId: headers["dandelionramp-request-id"] as string | undefined,
                }
                : { type: "Cut", status, body, reason },
        );
    };
    response.once("end", () => finish("end"));
    response.once("error", error => finish(describe(error)));
    response.once("close", () => finish("close"));
};

const describe = (error: NodeJS.ErrnoException): string => error.code ?? error.message;

/** Resolves with how the request ends. */
const readOutcome = (sent: http.ClientRequest, request: SoakRequest): Promise<Outcome> =>
    new Promise<Outcome>(resolve => {
        const timer = setTimeout(() => {
            resolve({ type: "GivenUp" });
            sent.destroy();
        }, clientDeadline + patience);
        const finish = (outcome: Outcome) => {
            clearTimeout(timer);
            resolve(outcome);
            if (!sent.writableFinished) {
                // The rest of the body isn't sent, so that the connection can't be used again.
                sent.destroy();
            }
        };
        sent.once("response", response => readResponse(response, request, finish));
        sent.on("error", (error: NodeJS.ErrnoException & { syscall?: string; }) => {
            const hasConnected = error.syscall !== "connect";
            finish(hasConnected ? { type: "Unanswered", reason: describe(error) } : { type: "NotConnected" });
        });
    });
