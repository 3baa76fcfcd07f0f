/** Event streams over responses that a test fills piece by piece. */
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { EventStream } from "../../../src/adapters/forwarding/eventStream.js";
import { StreamBrokenError, type StreamEvent } from "../../../src/ports/forwardingPorts.js";

/** What a consumer got of a stream. */
export interface ReadStream {
    events: StreamEvent[];
    /** Undefined if the stream was whole. */
    error: unknown;
}

/** A response without a connection, and its stream. */
export class ManualStream {
    readonly response = new IncomingMessage(new Socket());
    readonly stream = new EventStream(
        this.response,
        () => {
            if (!this.response.complete) {
                throw new StreamBrokenError("cut");
            }
        },
        () => {},
    );

    /** Delivers a piece as Node's parser does: at once, unless the response is paused. */
    arrive(text: string | Buffer): void {
        const piece = Buffer.from(text);
        if (this.response.isPaused()) {
            this.response.push(piece);
            return;
        }
        this.response.emit("data", piece);
    }

    end(): void {
        this.response.complete = true;
        // Node's sign for the end.
        // eslint-disable-next-line no-restricted-syntax
        this.response.push(null);
    }
}

export const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Reads a stream to its end. `onEvent` is called with each event. */
export const readAll = async (
    stream: AsyncIterableIterator<StreamEvent>,
    onEvent: (event: StreamEvent) => void = () => {},
): Promise<ReadStream> => {
    const events: StreamEvent[] = [];
    try {
        for await (const event of stream) {
            events.push(event);
            onEvent(event);
        }
        return { events, error: undefined };
    }
    catch (error) {
        return { events, error };
    }
};

/** Reads a stream whose bytes arrive in these pieces, the first ones within one turn of the event loop. */
export const readPieces = async (pieces: Iterable<string | Buffer>): Promise<ReadStream> => {
    const manual = new ManualStream();
    const reading = readAll(manual.stream);
    for (const piece of pieces) {
        manual.arrive(piece);
    }
    manual.end();
    return await reading;
};

export const textsOf = ({ events }: ReadStream): string[] => events.map(({ bytes }) => bytes.toString("latin1"));

/** Bytes that were searched and copied by buffers while `run` ran. */
export interface BufferWork {
    searched: number;
    copied: number;
}

/** Counts the work of `Buffer.prototype.indexOf`, `Buffer.prototype.copy` and `Buffer.concat` during `run`. */
export const countBufferWork = async (run: () => Promise<void>): Promise<BufferWork> => {
    const work = { searched: 0, copied: 0 };
    const { indexOf, copy } = Buffer.prototype;
    const { concat } = Buffer;
    Buffer.prototype.indexOf = function(this: Buffer, value: number, from = 0) {
        const index = indexOf.call(this, value, from);
        work.searched += (index < 0 ? this.length : index + 1) - from;
        return index;
    } as typeof indexOf;
    Buffer.prototype.copy = function(this: Buffer, ...options: Parameters<typeof copy>) {
        const copied = copy.apply(this, options);
        work.copied += copied;
        return copied;
    } as typeof copy;
    Buffer.concat = ((list: readonly Uint8Array[], total?: number) => {
        const joined = concat(list, total);
        work.copied += joined.length;
        return joined;
    }) as typeof concat;
    try {
        await run();
    }
    finally {
        Object.assign(Buffer.prototype, { indexOf, copy });
        Buffer.concat = concat;
    }
    return work;
};
