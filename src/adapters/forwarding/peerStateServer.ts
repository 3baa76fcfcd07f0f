/** Questions between entries for stored objects, as JSON-RPC 2.0 over HTTP. */
import { JSONRPCClient, type JSONRPCRequest, type JSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import { constants, gzipSync } from "node:zlib";
import * as z from "zod";
import type { StateUpdate } from "../../core/configuration/stateMirror.js";
import { WorkPart } from "../../core/placement/engineEstimate.js";
import { type WorkInProgress } from "../../core/placement/loadEstimator.js";
import type { PeerStatePort } from "../../ports/peerStatePort.js";
import { StateKind, type StateValues } from "../../ports/statePort.js";
import { withTimeout } from "../../utils/bounds.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { readBody, requestJson } from "../../utils/httpClient.js";
import { listen, type Listener, sendJson } from "../../utils/httpServer.js";
import type { PartLog } from "../../utils/log.js";

const stateMethod = "stateSince";
const loadsMethod = "loadsInProgress";
/** Changes with each incompatible change of what is exchanged; entries of another version are not understood. */
const formatVersion = 1;
const questionBytesAtMost = 4_096;

const questionSchema = z.object({ format: z.literal(formatVersion), kind: z.enum(StateKind), revision: z.number() });
const item = z.object({ name: z.string(), revision: z.number(), value: z.unknown() });
const answerSchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("Changes"),
        revision: z.number(),
        wasAway: z.boolean(),
        changes: z.array(item.extend({ removed: z.boolean() })),
    }),
    z.object({ type: z.literal("Snapshot"), revision: z.number(), wasAway: z.boolean(), items: z.array(item) }),
]);

const loadsSchema = z.object({
    format: z.literal(formatVersion),
    works: z.array(z.object({
        id: z.string(),
        owner: z.string(),
        endpoint: z.string(),
        contextTokens: z.number(),
        readTokens: z.number(),
        readTime: z.number(),
        targetGap: z.number().optional(),
        value: z.number(),
        yielding: z.boolean(),
        firstEventIn: z.number().optional(),
        part: z.enum(WorkPart),
        endsIn: z.number(),
        writing: z.boolean(),
    })),
});

/** What this entry knows that others ask for. */
export interface PeerKnowledge {
    /** What is known of a kind after a revision. */
    stateSince(kind: StateKind, revision: number): StateUpdate<unknown> | undefined;
    loadsInProgress(): WorkInProgress[];
    /** Differs whenever an answer to {@link stateSince} may differ. */
    stamp(): string;
}

/** Answers above this go packed: a configuration of a thousand routes would take a thin link for a fifth of a second. */
const packedAbove = 4_096;
/** Packed answers that are kept; after a change dozens of entries ask the same. */
const answersKept = 8;

/** Answers that were packed already, by what was asked. */
class PackedAnswers {
    private readonly answers = new Map<string, Buffer>();

    /** The packed form of `text`, which answers `question` as of `stamp`. */
    pack(question: string, stamp: string, text: string): Buffer {
        const key = `${stamp} ${question}`;
        const kept = this.answers.get(key);
        if (kept) {
            return kept;
        }
        const packed = gzipSync(text, { level: constants.Z_BEST_SPEED });
        this.answers.set(key, packed);
        for (const oldest of this.answers.keys()) {
            if (this.answers.size <= answersKept) {
                break;
            }
            this.answers.delete(oldest);
        }
        return packed;
    }
}

/** Answers other entries' questions at `address`. */
export const servePeerState = (address: string, knowledge: PeerKnowledge, log: PartLog): Promise<Listener> => {
    const server = new JSONRPCServer();
    const packed = new PackedAnswers();
    server.addMethod(stateMethod, parameters => {
        const { kind, revision } = questionSchema.parse(parameters);
        return knowledge.stateSince(kind, revision) ?? {};
    });
    server.addMethod(loadsMethod, () => ({ format: formatVersion, works: knowledge.loadsInProgress() }));
    return listen(address, async (request, response) => {
        try {
            const question = (await readBody(request, questionBytesAtMost)).toString("utf8");
            const answer = JSON.stringify(await server.receive(JSON.parse(question) as JSONRPCRequest));
            const headers = { "content-type": "application/json" };
            if (answer.length <= packedAbove) {
                response.writeHead(200, headers).end(answer);
                return;
            }
            const bytes = packed.pack(question, knowledge.stamp(), answer);
            response.writeHead(200, { ...headers, "content-encoding": "gzip", "content-length": bytes.length }).end(
                bytes,
            );
        }
        catch (error) {
            log.warn("An entry's question can't be read.", { reason: describeError(error) });
            sendJson(response, 400, {});
        }
    });
};

/** Asks other entries. */
export class PeerStateClient implements PeerStatePort {
    constructor(private readonly clock: Clock, private readonly log: PartLog) {}

    async fetchUpdate<Kind extends StateKind>(
        address: string,
        kind: Kind,
        revision: number,
        limit: Milliseconds,
    ): Promise<StateUpdate<StateValues[Kind]> | undefined> {
        const question = { format: formatVersion, kind, revision };
        const answer = answerSchema.safeParse(await this.call(address, stateMethod, question, limit));
        // The values were decoded by an entry of the same format.
        return answer.success ? answer.data as StateUpdate<StateValues[Kind]> : undefined;
    }

    async fetchWorkInProgress(address: string, limit: Milliseconds): Promise<WorkInProgress[] | undefined> {
        const answer = loadsSchema.safeParse(await this.call(address, loadsMethod, {}, limit));
        return answer.success
            ? answer.data.works.map(({ targetGap, firstEventIn, ...work }) => ({ ...work, targetGap, firstEventIn }))
            : undefined;
    }

    /** The answer of the entry at `address`; undefined when it gives none in time. */
    private async call(
        address: string,
        method: string,
        question: object,
        limit: Milliseconds,
    ): Promise<unknown> {
        const client = new JSONRPCClient(async (request: JSONRPCRequest) => {
            const send = (signal: AbortSignal) => requestJson({ address, method: "POST", path: "/", signal }, request);
            const { value } = await withTimeout(this.clock, limit, "another entry's answer", send);
            client.receive(value as JSONRPCResponse);
        });
        try {
            return await client.request(method, question);
        }
        catch (error) {
            this.log.info("An entry doesn't answer.", { address, method, question, error: describeError(error) });
            return undefined;
        }
    }
}
