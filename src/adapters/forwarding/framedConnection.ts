/** A connection to an endpoint that another entry carries in frames. */
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { DandelionrampError } from "../../utils/errors.js";
import { SocketEnd } from "../../utils/socketEnd.js";
import { FrameDecoder } from "./relayFrames.js";

// Node's streams take null for the end of their input.
// eslint-disable-next-line no-restricted-syntax
const endOfInput = null;

/** The carried connection has ended, and the endpoint hasn't. */
export class CarriedConnectionCutError extends DandelionrampError {
    constructor() {
        super("the connection to the entry that carried the response ended before the endpoint's end was declared");
    }
}

/** The carrying entry has declared that the endpoint reset its connection. */
export class CarriedConnectionResetError extends DandelionrampError {
    constructor() {
        super("the endpoint reset its connection to the entry that carried the response");
    }
}

/**
 * The bytes of the endpoint, without their frames. Ends when the carrying entry declares the endpoint's end, fails with a
 * {@link CarriedConnectionResetError} when it declares a reset, and with a
 * {@link CarriedConnectionCutError} when the connection to that entry ends before. Bytes to the endpoint have no frames.
 *
 * Node's HTTP client uses it as a socket, so it has the methods of one that Node and this project call.
 */
export class FramedConnection extends Duplex {
    readonly connecting = false;
    /** Called when the carried connection has ended, and the endpoint hasn't; before the error. */
    onCut: () => void = () => {};
    private readonly decoder = new FrameDecoder();

    constructor(private readonly socket: Socket) {
        super({
            read: () => socket.resume(),
            write: (bytes, ...[, callback]) => socket.write(bytes, callback),
            final: callback => socket.end(callback),
            destroy: (error, callback) => {
                socket.destroy();
                callback(error);
            },
        });
        // Nobody listens before the connection is used and after its response.
        this.on("error", () => {});
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
        socket.on("error", error => this.fail(error));
        socket.once("end", () => this.destroyUnlessEnded());
        socket.once("close", () => this.destroyUnlessEnded());
    }

    get bytesRead(): number {
        return this.socket.bytesRead;
    }

    resetAndDestroy(): void {
        this.socket.resetAndDestroy();
        this.destroy();
    }

    /** Closes the connection once everything is written. */
    destroySoon(): void {
        if (this.writableFinished) {
            this.destroy();
            return;
        }
        this.once("finish", () => this.destroy());
        this.end();
    }

    private receive(bytes: Buffer): void {
        if (this.decoder.isEnded) {
            return;
        }
        for (const content of this.decoder.read(bytes)) {
            if (!this.push(content)) {
                this.socket.pause();
            }
        }
        switch (this.decoder.end) {
            case undefined:
                return;
            case SocketEnd.Closed:
                this.push(endOfInput);
                return;
            case SocketEnd.Reset:
                // What has arrived before the reset is read first.
                setImmediate(() => this.destroy(new CarriedConnectionResetError()));
        }
    }

    private destroyUnlessEnded(): void {
        if (!this.decoder.isEnded) {
            this.fail(new CarriedConnectionCutError());
        }
    }

    private fail(error: Error): void {
        if (!this.decoder.isEnded && !this.destroyed) {
            this.onCut();
        }
        this.destroy(error);
    }
}
