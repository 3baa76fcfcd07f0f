/** Callers that send raw bytes, and see each byte that they receive. */
import { once } from "node:events";
import net, { type Socket } from "node:net";
import { splitAddress } from "../../../src/utils/address.js";
import { callerKey } from "./site.js";

/** A caller's connection; collects what it receives. */
export class RawCaller {
    readonly closed: Promise<void>;
    text = "";
    error: string | undefined;

    private constructor(readonly socket: Socket) {
        socket.on("data", (bytes: Buffer) => this.text += bytes.toString("latin1"));
        socket.on("error", (error: NodeJS.ErrnoException) => this.error = error.code);
        this.closed = new Promise(resolve => socket.once("close", () => resolve()));
    }

    static async connect(address: string): Promise<RawCaller> {
        const { host, port } = splitAddress(address);
        const socket = net.connect(port, host);
        await once(socket, "connect");
        return new RawCaller(socket);
    }

    /** Length of the body of the only answer. */
    get answerLength(): number {
        return this.text.length - this.text.indexOf("\r\n\r\n") - "\r\n\r\n".length;
    }

    get statuses(): number[] {
        return [...this.text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(found => Number(found[1]));
    }
}

/** Head of a request of the default site's customer. */
export const requestHead = (id: string, target: string, lines: readonly string[] = []): string =>
    [
        `POST ${target} HTTP/1.1`,
        "Host: desk.example",
        `Dandelionramp-Request-Id: ${id}`,
        `Authorization: Bearer ${callerKey}`,
        ...lines,
        "",
        "",
    ].join("\r\n");
