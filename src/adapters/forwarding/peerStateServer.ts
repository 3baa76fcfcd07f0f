/** Questions between entries for stored objects, as JSON-RPC 2.0 over HTTP. */
import { JSONRPCClient, type JSONRPCRequest, type JSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import * as z from "zod";
import type { StateNews } from "../../core/configuration/stateMirror.js";
import { type WorkInProgress, WorkPart } from "../../core/placement/loadView.js";
import type { PeerStatePort } from "../../ports/peerStatePort.js";
import { StateKind, type StateValues } from "../../ports/statePort.js";
import { within } from "../../utils/bounds.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { exchangeJson, readBody } from "../../utils/httpClient.js";
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
        readTime: z.number(),
        targetGap: z.number().optional(),
        value: z.number(),
        yielding: z.boolean(),
        part: z.enum(WorkPart),
        endsIn: z.number(),
        writing: z.boolean(),
    })),
});

/** What this entry knows that others ask for. */
export interface PeerKnowledge {
    /** What is known of a kind after a revision. */
    stateSince(kind: StateKind, revision: number): StateNews<unknown> | undefined;
    loadsInProgress(): WorkInProgress[];
}

/** Answers other entries' questions at `address`. */
export const servePeerState = (address: string, knowledge: PeerKnowledge, log: PartLog): Promise<Listener> => {
    const server = new JSONRPCServer();
    server.addMethod(stateMethod, parameters => {
        const { kind, revision } = questionSchema.parse(parameters);
        return knowledge.stateSince(kind, revision) ?? {};
    });
    server.addMethod(loadsMethod, () => ({ format: formatVersion, works: knowledge.loadsInProgress() }));
    return listen(address, async (request, response) => {
        try {
            const text = (await readBody(request, questionBytesAtMost)).toString("utf8");
            sendJson(response, 200, await server.receive(JSON.parse(text) as JSONRPCRequest));
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

    async ask<Kind extends StateKind>(
        address: string,
        kind: Kind,
        revision: number,
        limit: Milliseconds,
    ): Promise<StateNews<StateValues[Kind]> | undefined> {
        const question = { format: formatVersion, kind, revision };
        const answer = answerSchema.safeParse(await this.call(address, stateMethod, question, limit));
        // The values were decoded by an entry of the same format.
        return answer.success ? answer.data as StateNews<StateValues[Kind]> : undefined;
    }

    async askLoads(address: string, limit: Milliseconds): Promise<WorkInProgress[] | undefined> {
        const answer = loadsSchema.safeParse(await this.call(address, loadsMethod, {}, limit));
        return answer.success ? answer.data.works.map(({ targetGap, ...work }) => ({ ...work, targetGap })) : undefined;
    }

    /** The answer of the entry at `address`; undefined when it gives none in time. */
    private async call(
        address: string,
        method: string,
        question: object,
        limit: Milliseconds,
    ): Promise<unknown> {
        const client = new JSONRPCClient(async (request: JSONRPCRequest) => {
            const send = (signal: AbortSignal) => exchangeJson({ address, method: "POST", path: "/", signal }, request);
            const { value } = await within(this.clock, limit, "another entry's answer", send);
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
