/** Reads the frames of a model engine's response: JSON lines, one frame a line. */
import type { IncomingMessage } from "node:http";
import * as z from "zod";
import { describeError, EngineFrame, EngineLostError, FinishReason } from "../internal.js";

const maximumLineLength = 1024 * 1024;
/** Frames between two turns of the event loop. A piece of 64 KB may contain hundreds, and timers would wait for all of them. */
const maximumFramesPerTurn = 64;

const frameSchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("Tokens"),
        streamId: z.string(),
        attempt: z.number(),
        offset: z.number().int().min(0),
        count: z.number().int().min(1),
        text: z.string(),
    }),
    z.object({
        type: z.literal("End"),
        streamId: z.string(),
        attempt: z.number(),
        tokens: z.number().int().min(0),
        finishReason: z.enum(FinishReason),
    }),
]);

const parseFrame = (line: string): EngineFrame => {
    try {
        return frameSchema.parse(JSON.parse(line));
    }
    catch (error) {
        throw new EngineLostError("the engine sent a line that is not a frame", true, { cause: error });
    }
};

/** Splits pieces of text into lines. Each piece is searched once, so that a line in many small pieces costs no more than one. */
class LineSplitter {
    private pieces: string[] = [];
    private length = 0;

    /** Adds a piece and returns the lines that it completes. Throws {@link EngineLostError} if a line is too long. */
    add(piece: string): string[] {
        const [first, ...others] = piece.split("\n");
        this.extendLine(first!);
        if (others.length === 0) {
            return [];
        }
        const lines = [this.pieces.join(""), ...others.slice(0, -1)];
        this.pieces = [];
        this.length = 0;
        this.extendLine(others.at(-1)!);
        return lines;
    }

    private extendLine(piece: string): void {
        this.length += piece.length;
        if (this.length > maximumLineLength) {
            throw new EngineLostError("the engine sent a line that exceeds the length limit", true);
        }
        this.pieces.push(piece);
    }
}

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

async function* parseFrames(body: IncomingMessage): AsyncGenerator<EngineFrame, void> {
    const splitter = new LineSplitter();
    let frameCount = 0;
    body.setEncoding("utf8");
    try {
        for await (const piece of body as AsyncIterable<string>) {
            for (const line of splitter.add(piece)) {
                yield parseFrame(line);
                frameCount++;
                if (frameCount % maximumFramesPerTurn === 0) {
                    await nextTurn();
                }
            }
        }
    }
    catch (error) {
        if (error instanceof EngineLostError) {
            throw error;
        }
        throw new EngineLostError(describeError(error), true, { cause: error });
    }
    finally {
        body.destroy();
    }
}

/**
 * Parses the body of a response. Throws {@link EngineLostError} if the connection fails or a line is not a frame. The end of the
 * iteration closes the connection at once, even while the next frame is awaited.
 */
export const readFrames = (body: IncomingMessage): AsyncIterable<EngineFrame> => {
    const frames = parseFrames(body);
    return {
        [Symbol.asyncIterator]: () => ({
            next: () => frames.next(),
            return: () => {
                // The generator itself would end only after the frame that it waits for.
                body.destroy();
                return frames.return();
            },
        }),
    };
};
