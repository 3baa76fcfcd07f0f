/**
 * Serves and sends state queries between entries as JSON-RPC 2.0 over HTTP. An entry fetches stored objects and the work in
 * progress from its peers.
 */
import { JSONRPCClient, type JSONRPCRequest, type JSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import { constants, gzipSync } from "node:zlib";
import * as z from "zod";
import type { StateUpdate } from "../../core/configuration/stateMirror.js";
import { DigestScope, type MemberList } from "../../core/membership/memberDigest.js";
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
import { memberStateSchema } from "./memberSchema.js";

const stateMethod = "stateSince";
const workInProgressMethod = "loadsInProgress";
const pauseMethod = "endpointPaused";
const membersMethod = "members";
/** Version of the message format, raised with each incompatible change. Messages of another version are rejected. */
const formatVersion = 1;
const maximumQueryBytes = 4_096;
/** Timeout for a query to arrive. Its sender has given up by then. */
const queryTimeout: Milliseconds = 2_000;
/** Limit on a response, uncompressed: all objects of a kind at most. */
const maximumResponseBytes = 32 * 1024 * 1024;

const stateQuerySchema = z.object({ format: z.literal(formatVersion), kind: z.enum(StateKind), revision: z.number() });
const pauseSchema = z.object({
    format: z.literal(formatVersion),
    endpoint: z.string(),
    incarnation: z.number(),
    duration: z.number(),
});
const memberQuerySchema = z.object({ format: z.literal(formatVersion), scope: z.enum(DigestScope) });
const memberListSchema = z.object({ version: z.number(), members: z.array(memberStateSchema) });
const itemSchema = z.object({ name: z.string(), revision: z.number(), value: z.unknown().optional() });
const stateUpdateSchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("Changes"),
        revision: z.number(),
        wasAway: z.boolean(),
        changes: z.array(itemSchema.extend({ removed: z.boolean() })),
    }),
    z.object({ type: z.literal("Snapshot"), revision: z.number(), wasAway: z.boolean(), items: z.array(itemSchema) }),
]);

const workInProgressSchema = z.object({
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

/** A pause that an endpoint asked an entry for. */
export type EndpointPause = Omit<z.infer<typeof pauseSchema>, "format">;

/** State of this entry that its peers may query. */
export interface PeerStateSource {
    /** The changes of a kind of object after a revision. */
    stateSince(kind: StateKind, revision: number): StateUpdate<unknown> | undefined;
    workInProgress(): WorkInProgress[];
    /** Records that an endpoint asked this entry for a pause, by a response that this entry carried for another one. */
    recordPause(pause: EndpointPause): void;
    /** The living entries by this entry's list. */
    listMembers(scope: DigestScope): MemberList;
    /** A version that changes whenever the result of {@link stateSince} may change. */
    stateVersion(): string;
}

/** Larger responses are compressed: the configuration of a thousand routes would take a slow link a fifth of a second. */
const compressionThresholdBytes = 4_096;
/** Number of cached compressed responses. After a change dozens of entries send the same query. */
const maximumCachedResponses = 8;

const compressText = (text: string): Buffer => gzipSync(text, { level: constants.Z_BEST_SPEED });

/** Cache of compressed responses by state version and query. */
class CompressedResponseCache {
    private readonly compressedByKey = new Map<string, Buffer>();

    /** Compresses `text`, the response to `query` at `stateVersion`. */
    compress(query: string, stateVersion: string, text: string): Buffer {
        const key = `${stateVersion} ${query}`;
        const cached = this.compressedByKey.get(key);
        if (cached) {
            return cached;
        }
        const compressed = compressText(text);
        this.compressedByKey.set(key, compressed);
        for (const oldest of this.compressedByKey.keys()) {
            if (this.compressedByKey.size <= maximumCachedResponses) {
                break;
            }
            this.compressedByKey.delete(oldest);
        }
        return compressed;
    }
}

/** Serves the state queries of other entries at `address`. */
export const servePeerState = (
    address: string,
    source: PeerStateSource,
    clock: Clock,
    log: PartLog,
): Promise<Listener> => {
    const server = new JSONRPCServer();
    const compressedResponses = new CompressedResponseCache();
    server.addMethod(stateMethod, parameters => {
        const { kind, revision } = stateQuerySchema.parse(parameters);
        return source.stateSince(kind, revision) ?? {};
    });
    server.addMethod(workInProgressMethod, () => ({ format: formatVersion, works: source.workInProgress() }));
    server.addMethod(pauseMethod, parameters => {
        source.recordPause(pauseSchema.parse(parameters));
        return {};
    });
    server.addMethod(membersMethod, parameters => source.listMembers(memberQuerySchema.parse(parameters).scope));
    return listen(address, async (request, response) => {
        try {
            const query = (await readBody(request, maximumQueryBytes, { limit: queryTimeout, clock })).toString("utf8");
            const rpcRequest = JSON.parse(query) as JSONRPCRequest;
            const reply = JSON.stringify(await server.receive(rpcRequest));
            const headers = { "content-type": "application/json" };
            if (reply.length <= compressionThresholdBytes) {
                response.writeHead(200, headers).end(reply);
                return;
            }
            // Only stored objects have a version; the work in progress and the members differ from query to query.
            const bytes = rpcRequest.method === stateMethod
                ? compressedResponses.compress(query, source.stateVersion(), reply)
                : compressText(reply);
            response.writeHead(200, { ...headers, "content-encoding": "gzip", "content-length": bytes.length }).end(
                bytes,
            );
        }
        catch (error) {
            log.warn("A state query is invalid.", { reason: describeError(error) });
            // A query that exceeds the limit may have no end.
            response.setHeader("connection", "close");
            sendJson(response, 400, {});
        }
    });
};

/** Client for the state queries of other entries. */
export class PeerStateClient implements PeerStatePort {
    constructor(private readonly clock: Clock, private readonly log: PartLog) {}

    async fetchUpdate<Kind extends StateKind>(
        address: string,
        kind: Kind,
        revision: number,
        timeout: Milliseconds,
    ): Promise<StateUpdate<StateValues[Kind]> | undefined> {
        const query = { format: formatVersion, kind, revision };
        const response = stateUpdateSchema.safeParse(await this.call(address, stateMethod, query, timeout));
        // The peer has already decoded the values, and uses the same format.
        return response.success ? response.data as StateUpdate<StateValues[Kind]> : undefined;
    }

    async fetchWorkInProgress(address: string, timeout: Milliseconds): Promise<WorkInProgress[] | undefined> {
        const response = workInProgressSchema.safeParse(await this.call(address, workInProgressMethod, {}, timeout));
        return response.success
            ? response.data.works.map(({ targetGap, firstEventIn, ...work }) => ({ ...work, targetGap, firstEventIn }))
            : undefined;
    }

    /** Fetches the living entries by the list of the entry at `address`. */
    async fetchMembers(address: string, scope: DigestScope, timeout: Milliseconds): Promise<MemberList | undefined> {
        const query = { format: formatVersion, scope };
        const response = memberListSchema.safeParse(await this.call(address, membersMethod, query, timeout));
        return response.success ? response.data : undefined;
    }

    /** Tells the entry at `address` of a pause. */
    async announcePause(address: string, pause: EndpointPause, timeout: Milliseconds): Promise<void> {
        await this.call(address, pauseMethod, { format: formatVersion, ...pause }, timeout);
    }

    /** Resolves with the response of the entry at `address`, or with undefined when none arrives in time. */
    private async call(
        address: string,
        method: string,
        query: object,
        timeout: Milliseconds,
    ): Promise<unknown> {
        const client = new JSONRPCClient(async (request: JSONRPCRequest) => {
            const send = (signal: AbortSignal) =>
                requestJson({ address, method: "POST", path: "/", signal, maximumResponseBytes }, request);
            const { value } = await withTimeout(this.clock, timeout, "the response of another entry", send);
            client.receive(value as JSONRPCResponse);
        });
        try {
            return await client.request(method, query);
        }
        catch (error) {
            this.log.info("An entry didn't respond to a state query.", {
                address,
                method,
                question: query,
                error: describeError(error),
            });
            return undefined;
        }
    }
}
