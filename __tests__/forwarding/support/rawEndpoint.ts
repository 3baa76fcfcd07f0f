/** Endpoints that send raw bytes over sockets, and attempts on them. */
import net, { type AddressInfo, type Socket } from "node:net";
import { afterEach } from "vitest";
import { platformWire } from "../../../platform/forwardingWire.js";
import { EndpointClient } from "../../../src/adapters/forwarding/endpointClient.js";
import { HeldKind } from "../../../src/core/memoryBounds/heldBytes.js";
import { RequestMemory } from "../../../src/core/memoryBounds/requestMemory.js";
import type { AttemptOutcome, EndpointAttempt } from "../../../src/ports/forwardingPorts.js";
import { systemClock } from "../../../src/utils/clock.js";
import { endpointRecord } from "./endpointRecord.js";

/** Responds to a request with the identifier `id`. */
export type RawResponder = (socket: Socket, id: string) => void;

/** A server that answers requests with raw bytes. */
export class RawEndpoint {
    readonly sockets = new Set<Socket>();
    connectionCount = 0;
    private readonly server = net.createServer(socket => this.accept(socket));

    private constructor(
        readonly id: string,
        private readonly respond: RawResponder,
        private readonly onConnection: (socket: Socket) => void,
    ) {}

    static async start(
        id: string,
        respond: RawResponder,
        onConnection: (socket: Socket) => void = () => {},
    ): Promise<RawEndpoint> {
        const endpoint = new RawEndpoint(id, respond, onConnection);
        await new Promise<void>(resolve => endpoint.server.listen(0, "127.0.0.1", resolve));
        return endpoint;
    }

    get record() {
        return { ...endpointRecord(this.id), address: `127.0.0.1:${(this.server.address() as AddressInfo).port}` };
    }

    close(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
        this.server.close();
    }

    private accept(socket: Socket): void {
        this.connectionCount++;
        this.sockets.add(socket);
        socket.on("error", () => {});
        socket.once("close", () => this.sockets.delete(socket));
        this.onConnection(socket);
        socket.on("data", bytes => {
            const id = /request-id: (\S+)/i.exec(bytes.toString("latin1"))?.[1];
            this.respond(socket, id ?? "");
        });
    }
}

const startedEndpoints: RawEndpoint[] = [];

afterEach(() => {
    for (const endpoint of startedEndpoints.splice(0)) {
        endpoint.close();
    }
});

/** Starts an endpoint, which is closed after the test. */
export const startEndpoint = async (
    respond: RawResponder,
    id = `r-${startedEndpoints.length}`,
): Promise<RawEndpoint> => {
    const endpoint = await RawEndpoint.start(id, respond);
    startedEndpoints.push(endpoint);
    return endpoint;
};

/** Head of a signed response to the request `id`. */
export const rawHead = (id: string, status: string, lines: string[] = []): string =>
    [
        `HTTP/1.1 ${status}`,
        `Dandelionramp-Request-Id: ${id}`,
        "Dandelionramp-Response-Signature: signed",
        ...lines,
        "",
        "",
    ].join("\r\n");

/** Head of a response that guarantees that the request has not run. */
export const refusalHead = (id: string, lines: string[]): string =>
    rawHead(id, "503 Service Unavailable", ["Dandelionramp-Not-Executed: 1", ...lines]);

/** Writes `text` again and again, as fast as the connection takes it. */
export const writeWithoutEnd = (socket: Socket, text: string): void => {
    const block = text.repeat(Math.ceil(65_536 / text.length));
    const writeMore = () => {
        while (!socket.destroyed && socket.write(block)) {
            // The connection takes more.
        }
    };
    socket.on("drain", writeMore);
    writeMore();
};

/** Writes `text` every 10 ms until the connection closes. */
export const drip = (socket: Socket, text: string): void => {
    const timer = setInterval(() => socket.write(text), 10);
    socket.once("close", () => clearInterval(timer));
};

/** Counts the bytes that all requests have received and hold. */
export class ReceivedBytes {
    held = 0;
    highest = 0;

    open(): RequestMemory {
        return new RequestMemory({
            admit: () => {},
            onArriving: () => {},
            onArrived: () => {},
            onChange: (kind, difference) => {
                this.held += kind === HeldKind.Received ? difference : 0;
                this.highest = Math.max(this.highest, this.held);
            },
            onClosed: () => {},
        });
    }
}

let nextRequest = 0;

/** An attempt on `endpoint`. */
export const attemptOn = (
    endpoint: RawEndpoint,
    { method = "GET", memory, ...changes }: Partial<EndpointAttempt> & { method?: string; memory?: RequestMemory; } =
        {},
): EndpointAttempt => {
    const id = `raw-${nextRequest++}`;
    return {
        request: {
            id,
            method,
            target: "/lookups/a",
            host: "desk.example",
            headers: ["Host", "desk.example", "Dandelionramp-Request-Id", id],
            apiKey: undefined,
            callerTimeout: undefined,
            arrivedAt: 0,
            lastEventId: undefined,
            size: undefined,
            sharedParts: [],
            body: Buffer.alloc(0),
            memory,
        },
        endpoint: endpoint.record,
        timeLeft: 5_000,
        customer: undefined,
        priority: 0,
        lastEventId: undefined,
        helpers: [],
        isStreaming: false,
        connectTimeout: 5_000,
        mayReuseConnection: true,
        ...changes,
    };
};

export const newClient = (): EndpointClient => new EndpointClient(platformWire, systemClock);

/** Sends one attempt that nothing cancels. */
export const send = (client: EndpointClient, attempt: EndpointAttempt): Promise<AttemptOutcome> =>
    client.send(attempt, new AbortController().signal, () => {});
