/** Responses of endpoints that send bytes without end, until the caller closes the connection. */
import type { Socket } from "node:net";
import { header } from "../../../platform/names.js";
import type { ReplicaArrival, ReplicaFault, ReplicaServer } from "../../../platform/standins/replicaServer.js";
import { type Milliseconds, systemClock } from "../../../src/utils/clock.js";

/** How quickly the bytes are sent. */
export enum Pace {
    /** As fast as the connection takes them. */
    Fast = "fast",
    /** One piece per {@link dripInterval}. */
    Drip = "drip",
}

/** How a body is framed. */
export enum Framing {
    /** By a length or by the close of the connection, as the headers say. */
    Plain,
    /** Each write is one chunk. */
    ChunkPerWrite,
    /** Each byte of the pieces is one chunk. */
    ChunkPerByte,
}

/** A response that doesn't end. */
export interface EndlessResponse {
    name: string;
    /** Status line; undefined when the bytes precede the head of the response. */
    statusLine?: string;
    /** Headers in addition to those that identify the endpoint. */
    headers?: string[];
    isSigned?: boolean;
    framing?: Framing;
    /** Sent once, before the first piece. */
    opening?: string;
    /** Sent again and again. */
    piece: string;
}

export const dripInterval: Milliseconds = 20;
const blockBytes = 64 * 1024;
const ok = "HTTP/1.1 200 OK";
const eventStream = "Content-Type: text/event-stream";
const chunked = "Transfer-Encoding: chunked";

const streamOf = (name: string, piece: string, opening?: string): EndlessResponse => ({
    name,
    statusLine: ok,
    headers: [eventStream, chunked],
    isSigned: true,
    framing: Framing.ChunkPerWrite,
    opening,
    piece,
});

/** Bytes in a stream that are no event. */
export const endlessStreams: EndlessResponse[] = [
    streamOf("empty lines", "\n"),
    streamOf("comment blocks", ": alive\n\n"),
    streamOf("event blocks without data", "event: token\n\n"),
    streamOf("one line", "word ", "data: "),
    streamOf("data lines", "data: word\n"),
    { ...streamOf("chunks of one byte", "x"), framing: Framing.ChunkPerByte },
    {
        ...streamOf("comment blocks till the close", ": alive\n\n"),
        headers: [eventStream, "Connection: close"],
        framing: Framing.Plain,
    },
];

/** Bytes before the head of a response. */
export const endlessBeforeHead: EndlessResponse[] = [
    { name: "empty lines before the head", piece: "\r\n" },
    { name: "interim responses 100", piece: "HTTP/1.1 100 Continue\r\n\r\n" },
    { name: "interim responses 103", piece: "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n" },
];

const bodiesOf = (name: string, statusLine: string, isSigned: boolean, headers: string[]): EndlessResponse[] => {
    const common = { statusLine, isSigned, piece: "no end " };
    return [
        { ...common, name: `${name} of a huge length`, headers: [...headers, "Content-Length: 1000000000000"] },
        { ...common, name: `${name} in chunks`, headers: [...headers, chunked], framing: Framing.ChunkPerWrite },
        { ...common, name: `${name} till the close`, headers: [...headers, "Connection: close"] },
    ];
};

/** Bodies of responses that aren't streamed. */
export const endlessBodies = bodiesOf("body", ok, true, ["Content-Type: application/json"]);
export const endlessFailures = bodiesOf("body of a failure", "HTTP/1.1 500 Internal Server Error", true, []);
export const endlessRefusals = bodiesOf("body of a refusal", "HTTP/1.1 503 Service Unavailable", false, [
    `${header.notExecuted}: 1`,
]);

/** Every response that requests receive. Responses to orders are those of {@link endlessBodies} and of {@link endlessBeforeHead}. */
export const allEndlessResponses = [
    ...endlessStreams,
    ...endlessBeforeHead,
    ...endlessBodies,
    ...endlessFailures,
    ...endlessRefusals,
];

const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const frameText = ({ framing = Framing.Plain }: EndlessResponse, text: string): string =>
    framing === Framing.Plain || text === "" ? text : chunkOf(text);

const framePieces = (response: EndlessResponse, count: number): string => {
    const { framing, piece } = response;
    return framing === Framing.ChunkPerByte
        ? [...piece].map(chunkOf).join("").repeat(count)
        : frameText(response, piece.repeat(count));
};

/** The event that stand-in replicas send under `id`. */
export const eventText = (replica: string, id: number): string => `id: ${id}\ndata: ${replica} ${id}\n\n`;

/** One connection on which bytes are sent without end. */
export class EndlessWriter {
    readonly startedAt = systemClock.now();
    closedAt: Milliseconds | undefined;
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly socket: Socket,
        private readonly pace: Pace,
        opening: string,
        private readonly block: string,
    ) {
        socket.on("error", () => {});
        socket.once("close", () => {
            this.closedAt = systemClock.now();
            clearTimeout(this.timer);
        });
        socket.write(opening, "latin1");
        this.write();
    }

    /** Bytes that the system has taken; they may still be in the buffers of the connection. */
    get writtenBytes(): number {
        return this.socket.bytesWritten - this.socket.writableLength;
    }

    stop(): void {
        this.socket.destroy();
    }

    private write(): void {
        if (!this.socket.writable) {
            return;
        }
        const hasRoom = this.socket.write(this.block, "latin1");
        if (this.pace === Pace.Drip) {
            this.timer = setTimeout(() => this.write(), dripInterval);
            return;
        }
        if (hasRoom) {
            // One block a turn: the callers and the other stand-ins of the process need their turns too.
            setImmediate(() => this.write());
            return;
        }
        this.socket.once("drain", () => setImmediate(() => this.write()));
    }
}

/** Sends endless responses from the endpoint that is asked first; the others stay sound. */
export class EndlessEndpoint {
    readonly writers: EndlessWriter[] = [];
    /** The endpoint whose responses don't end. */
    replica: ReplicaServer | undefined;

    constructor(private readonly response: EndlessResponse, readonly pace: Pace) {}

    /** Replaces responses to requests, after `eventCount` sound events. */
    serveRequests(replicas: ReplicaServer[], eventCount = 0): void {
        const fault: ReplicaFault = (...[arrival, , replica, socket]) => {
            if (!this.isEndless(replica)) {
                return false;
            }
            this.start(replica, arrival.id, socket, this.soundEvents(replica, arrival, eventCount));
            return true;
        };
        for (const replica of replicas) {
            replica.fault = fault;
        }
    }

    /** Replaces responses to orders. */
    serveOrders(replicas: ReplicaServer[]): void {
        for (const replica of replicas) {
            replica.orderFault = ({ id }, { socket }) => {
                if (!socket || !this.isEndless(replica)) {
                    return false;
                }
                this.start(replica, id, socket, "");
                return true;
            };
        }
    }

    /** Ends all connections. */
    stop(): void {
        for (const writer of this.writers) {
            writer.stop();
        }
    }

    private isEndless(replica: ReplicaServer): boolean {
        this.replica ??= replica;
        return this.replica === replica;
    }

    private soundEvents(replica: ReplicaServer, { headers }: ReplicaArrival, count: number): string {
        const delivered = Number(headers[header.lastEvent.toLowerCase()] ?? 0);
        return [...Array(count).keys()].map(index => eventText(replica.id, delivered + index + 1)).join("");
    }

    private start(replica: ReplicaServer, id: string, socket: Socket, events: string): void {
        const { response, pace } = this;
        const head = this.head(replica, id);
        const opening = head + frameText(response, events) + frameText(response, response.opening ?? "");
        const count = pace === Pace.Drip ? 1 : Math.ceil(blockBytes / response.piece.length);
        this.writers.push(new EndlessWriter(socket, pace, opening, framePieces(response, count)));
    }

    private head(replica: ReplicaServer, id: string): string {
        const { statusLine, headers = [], isSigned } = this.response;
        if (statusLine === undefined) {
            return "";
        }
        const identity = Object.entries(replica.responseHeaders(id))
            .filter(([name]) => isSigned === true || name !== header.signature)
            .map(([name, value]) => `${name}: ${value}`);
        return [statusLine, ...identity, ...headers, "", ""].join("\r\n");
    }
}
