/** Exchanges datagrams between entries as JSON-RPC 2.0 notifications. */
import { JSONRPCClient, type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import dgram from "node:dgram";
import * as z from "zod";
import { DigestScope } from "../../core/membership/memberDigest.js";
import { WorkPart } from "../../core/placement/engineEstimate.js";
import { SendResult } from "../../core/placement/failureTracker.js";
import { type PeerChannelPort, type PeerPacket, RelayScope } from "../../ports/peerChannelPort.js";
import { StateKind } from "../../ports/statePort.js";
import { splitAddress } from "../../utils/address.js";
import { describeError } from "../../utils/errors.js";
import { createUnlessInvalid } from "../../utils/invalidArguments.js";
import type { PartLog } from "../../utils/log.js";
import { crashNewsSchema } from "./crashNewsSchema.js";
import { memberStateSchema } from "./memberSchema.js";

const updateMethod = "news";
/** Size limit of a datagram. A larger one would be split in transit, and lost when any fragment is. */
const maximumDatagramBytes = 60_000;

const workSchema = z.object({
    id: z.string(),
    owner: z.string(),
    readTokens: z.number(),
    readTime: z.number(),
    targetGap: z.number().optional(),
    value: z.number(),
    yielding: z.boolean(),
    firstEventIn: z.number().optional(),
    endsIn: z.number(),
    customer: z.string().optional(),
});

const workPartSchema = z.tuple([z.string(), z.enum(WorkPart), z.number()]);
const knownRevisionsSchema = z.partialRecord(z.enum(StateKind), z.number());
const readAgesSchema = z.partialRecord(z.enum(StateKind), z.number());

const peerAddressSchema = z.object({ id: z.string(), address: z.string() });
const statusSchema = z.object({
    known: knownRevisionsSchema,
    readAges: readAgesSchema,
    dataCentre: z.string(),
    reads: z.boolean(),
    signInterval: z.number(),
    processors: z.number(),
    places: z.boolean(),
    limits: z.array(z.object({ endpoint: z.string(), perSecond: z.number().optional(), age: z.number() })),
    reportedStates: z.array(z.object({
        endpoint: z.string(),
        incarnation: z.number(),
        isLeaving: z.boolean(),
        coldFor: z.number(),
        age: z.number(),
    })).optional(),
    crashNews: crashNewsSchema.optional(),
    reachesEndpoints: z.boolean().optional(),
    usesDigests: z.boolean().optional(),
    digest: z.object({
        scope: z.enum(DigestScope),
        version: z.number(),
        base: z.number(),
        changed: z.array(memberStateSchema),
        removed: z.array(z.string()),
    }).optional(),
    lendsColdParts: z.boolean().optional(),
});
const stateDeltaSchema = z.object({
    kind: z.enum(StateKind),
    after: z.number(),
    revision: z.number(),
    wasAway: z.boolean(),
    changes: z.array(z.object({
        name: z.string(),
        revision: z.number(),
        value: z.unknown().optional(),
        removed: z.boolean(),
    })),
});

const placementQuestionSchema = z.object({
    serial: z.number(),
    requestId: z.string(),
    service: z.string(),
    promptTokens: z.number(),
    answerTokens: z.number(),
    targetLatency: z.number(),
    targetGap: z.number().optional(),
    targetLeft: z.number(),
    patienceLeft: z.number(),
    endsIn: z.number(),
    broken: z.array(z.string()),
    refused: z.array(z.string()),
    lacking: z.array(z.string()),
    cold: z.array(z.string()),
    spent: z.array(z.string()),
    without: z.string().optional(),
    rank: z.number().optional(),
    customer: z.string().optional(),
    age: z.number().optional(),
    takesColdGrants: z.boolean().optional(),
    mayWait: z.boolean().optional(),
});
const placementSchema = z.object({
    endpoint: z.string(),
    helpers: z.array(z.string()),
    shares: z.array(z.tuple([z.string(), z.number()])),
    readTime: z.number(),
    firstEvent: z.number(),
    slotWait: z.number(),
    readWait: z.number(),
    whole: z.number(),
    yields: z.boolean(),
    postponed: z.boolean(),
    firstEventAfterWait: z.number().optional(),
});
const placementAnswerSchema = z.discriminatedUnion("type", [
    z.object({ type: z.literal("Declined"), serial: z.number() }),
    z.object({ type: z.literal("NoEndpoint"), serial: z.number() }),
    z.object({
        type: z.literal("Chosen"),
        serial: z.number(),
        placement: placementSchema,
        busyFor: z.number(),
        coldGrant: z.number().optional(),
    }),
    z.object({ type: z.literal("Waiting"), serial: z.number(), renewIn: z.number() }),
]);

const lentAllowanceSchema = z.object({ endpoint: z.string(), count: z.number().int().min(0) });

const messageSchema = z.object({
    from: peerAddressSchema.extend({ incarnation: z.string() }),
    news: z.array(z.discriminatedUnion("type", [
        z.object({ type: z.literal("Placed"), work: workSchema, parts: z.array(workPartSchema) }),
        z.object({ type: z.literal("Writing"), endpoint: z.string(), id: z.string() }),
        z.object({ type: z.literal("Ended"), endpoints: z.array(z.string()), id: z.string() }),
        z.object({ type: z.literal("Alive"), inProgress: z.array(z.string()).optional(), status: statusSchema }),
        z.object({
            type: z.literal("StoreRead"),
            known: knownRevisionsSchema,
            readAges: readAgesSchema,
            change: stateDeltaSchema.optional(),
        }),
        z.object({ type: z.literal("Outcome"), endpoint: z.string(), fate: z.enum(SendResult) }),
        z.object({ type: z.literal("PlacementAsked"), question: placementQuestionSchema }),
        z.object({ type: z.literal("PlacementAnswered"), answer: placementAnswerSchema }),
        z.object({ type: z.literal("WaitWithdrawn"), requestId: z.string() }),
        z.object({ type: z.literal("AllowanceAsked"), serial: z.number() }),
        z.object({ type: z.literal("AllowanceLent"), serial: z.number(), allowances: z.array(lentAllowanceSchema) }),
        z.object({ type: z.literal("AllowanceReturned"), serial: z.number(), kept: z.array(lentAllowanceSchema) }),
        z.object({ type: z.literal("ColdPartsAsked"), serial: z.number() }),
        z.object({ type: z.literal("ColdPartsLent"), serial: z.number(), parts: z.array(lentAllowanceSchema) }),
        z.object({ type: z.literal("Stopping") }),
        z.object({ type: z.literal("Greeting") }),
        z.object({ type: z.literal("Entries"), entries: z.array(peerAddressSchema) }),
    ])),
});
/** Version of the message format, raised with each incompatible change. Packets of another version are dropped. */
const formatVersion = 4;
const packetSchema = z.object({
    format: z.literal(formatVersion),
    messages: z.array(messageSchema),
    passOn: z.enum(RelayScope),
});

/** The UDP channel to the other entries. */
export class PeerSocket implements PeerChannelPort {
    private readonly socket = dgram.createSocket("udp4");
    private readonly server = new JSONRPCServer({ errorListener: () => {} });
    private addresses: readonly string[] = [];
    private readonly client = new JSONRPCClient((request: JSONRPCRequest) => this.write(request));
    private failureCount = 0;

    constructor(private readonly log: PartLog, onPacket: (packet: PeerPacket) => void) {
        this.server.addMethod(updateMethod, parameters => {
            const parsed = packetSchema.safeParse(parameters);
            if (parsed.success) {
                onPacket(parsed.data as PeerPacket);
            }
            else {
                this.log.warn("A datagram is invalid.", { reason: parsed.error.issues[0]?.message });
            }
        });
        this.socket.on("message", bytes => void this.receive(bytes));
        this.socket.on("error", error => this.logFailure(error));
    }

    /** Receives datagrams at `host:port`; resolves with the actual address. Rejects when the address is unavailable. */
    listen(address: string): Promise<string> {
        const { host, port } = splitAddress(address);
        return new Promise((resolve, reject) => {
            this.socket.once("error", reject);
            this.socket.bind(port, host, () => {
                this.socket.off("error", reject);
                resolve(`${host}:${this.socket.address().port}`);
            });
        });
    }

    send(addresses: readonly string[], outgoing: PeerPacket): void {
        this.addresses = addresses;
        this.client.notify(updateMethod, { format: formatVersion, ...outgoing });
    }

    close(): void {
        this.socket.close();
    }

    private write(request: JSONRPCRequest): Promise<void> {
        const bytes = Buffer.from(JSON.stringify(request));
        if (bytes.length > maximumDatagramBytes) {
            this.log.warn("An update exceeds the size limit of a datagram.", { bytes: bytes.length });
            return Promise.resolve();
        }
        for (const address of this.addresses) {
            this.sendBytes(bytes, address);
        }
        return Promise.resolve();
    }

    private sendBytes(bytes: Buffer, address: string): void {
        const { host, port } = splitAddress(address);
        const result = createUnlessInvalid(() =>
            this.socket.send(bytes, port, host, error => {
                if (error) {
                    this.logFailure(error);
                }
            })
        );
        if (result instanceof Error) {
            this.logFailure(result);
        }
    }

    private async receive(bytes: Buffer): Promise<void> {
        try {
            await this.server.receiveJSON(bytes.toString("utf8"));
        }
        catch (error) {
            this.logFailure(error);
        }
    }

    /** Logs one of every 1,000 failures, since every send to a failed peer fails. */
    private logFailure(error: unknown): void {
        if (this.failureCount % 1_000 === 0) {
            this.log.warn("A datagram could not be sent or processed.", {
                failures: this.failureCount,
                reason: describeError(error),
            });
        }
        this.failureCount++;
    }
}
