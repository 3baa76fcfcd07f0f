/** Datagrams between entries, as JSON-RPC 2.0 notifications. */
import { JSONRPCClient, type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import dgram from "node:dgram";
import * as z from "zod";
import { WorkPart } from "../../core/placement/engineEstimate.js";
import { SendResult } from "../../core/placement/failureTracker.js";
import { type PeerChannelPort, type PeerPacket, RelayScope } from "../../ports/peerChannelPort.js";
import { StateKind } from "../../ports/statePort.js";
import { splitAddress } from "../../utils/address.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";

const newsMethod = "news";
/** A datagram above this would be split on the way, and lost when any piece is. */
const datagramBytesAtMost = 60_000;

const work = z.object({
    id: z.string(),
    owner: z.string(),
    readTokens: z.number(),
    readTime: z.number(),
    targetGap: z.number().optional(),
    value: z.number(),
    yielding: z.boolean(),
    firstEventIn: z.number().optional(),
    endsIn: z.number(),
});

const part = z.tuple([z.string(), z.enum(WorkPart), z.number()]);
const known = z.partialRecord(z.enum(StateKind), z.number());
const readAges = z.partialRecord(z.enum(StateKind), z.number());

const peerAddress = z.object({ id: z.string(), address: z.string() });
const status = z.object({
    known,
    readAges,
    dataCentre: z.string(),
    reads: z.boolean(),
    signInterval: z.number(),
    processors: z.number(),
    places: z.boolean(),
    limits: z.array(z.object({ endpoint: z.string(), perSecond: z.number().optional(), age: z.number() })),
});
const change = z.object({
    kind: z.enum(StateKind),
    after: z.number(),
    revision: z.number(),
    wasAway: z.boolean(),
    changes: z.array(z.object({
        name: z.string(),
        revision: z.number(),
        value: z.unknown(),
        removed: z.boolean(),
    })),
});

const question = z.object({
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
});
const placement = z.object({
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
});
const answer = z.discriminatedUnion("type", [
    z.object({ type: z.literal("Declined"), serial: z.number() }),
    z.object({ type: z.literal("NoEndpoint"), serial: z.number() }),
    z.object({ type: z.literal("Chosen"), serial: z.number(), placement, busyFor: z.number() }),
]);

const message = z.object({
    from: peerAddress.extend({ incarnation: z.string() }),
    news: z.array(z.discriminatedUnion("type", [
        z.object({ type: z.literal("Placed"), work, parts: z.array(part) }),
        z.object({ type: z.literal("Writing"), endpoint: z.string(), id: z.string() }),
        z.object({ type: z.literal("Ended"), endpoints: z.array(z.string()), id: z.string() }),
        z.object({ type: z.literal("Alive"), inProgress: z.array(z.string()).optional(), status }),
        z.object({ type: z.literal("StoreRead"), known, readAges, change: change.optional() }),
        z.object({ type: z.literal("Outcome"), endpoint: z.string(), fate: z.enum(SendResult) }),
        z.object({ type: z.literal("PlacementAsked"), question }),
        z.object({ type: z.literal("PlacementAnswered"), answer }),
        z.object({ type: z.literal("Stopping") }),
        z.object({ type: z.literal("Greeting") }),
        z.object({ type: z.literal("Entries"), entries: z.array(peerAddress) }),
    ])),
});
/** Changes with each incompatible change of what is told; entries of another version are not understood. */
const formatVersion = 4;
const packet = z.object({ format: z.literal(formatVersion), messages: z.array(message), passOn: z.enum(RelayScope) });

/** The channel to the other entries. */
export class PeerSocket implements PeerChannelPort {
    private readonly socket = dgram.createSocket("udp4");
    private readonly server = new JSONRPCServer({ errorListener: () => {} });
    private addresses: readonly string[] = [];
    private readonly client = new JSONRPCClient((request: JSONRPCRequest) => this.write(request));
    private failures = 0;

    constructor(private readonly log: PartLog, hear: (heard: PeerPacket) => void) {
        this.server.addMethod(newsMethod, parameters => {
            const heard = packet.safeParse(parameters);
            if (heard.success) {
                hear(heard.data as PeerPacket);
            }
            else {
                this.log.warn("A datagram can't be read.", { reason: heard.error.issues[0]?.message });
            }
        });
        this.socket.on("message", bytes => void this.receive(bytes));
        this.socket.on("error", error => this.noteFailure(error));
    }

    /** Takes datagrams at `host:port`; resolves with the real address. Rejects when it can't be had. */
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

    send(addresses: readonly string[], sent: PeerPacket): void {
        this.addresses = addresses;
        this.client.notify(newsMethod, { format: formatVersion, ...sent });
    }

    close(): void {
        this.socket.close();
    }

    private write(request: JSONRPCRequest): Promise<void> {
        const bytes = Buffer.from(JSON.stringify(request));
        if (bytes.length > datagramBytesAtMost) {
            this.log.warn("News is too large for a datagram.", { bytes: bytes.length });
            return Promise.resolve();
        }
        for (const address of this.addresses) {
            const { host, port } = splitAddress(address);
            this.socket.send(bytes, port, host, error => {
                if (error) {
                    this.noteFailure(error);
                }
            });
        }
        return Promise.resolve();
    }

    private async receive(bytes: Buffer): Promise<void> {
        try {
            await this.server.receiveJSON(bytes.toString("utf8"));
        }
        catch (error) {
            this.noteFailure(error);
        }
    }

    /** A peer that is gone makes each send fail; one line a thousand tells enough. */
    private noteFailure(error: unknown): void {
        if (this.failures % 1_000 === 0) {
            this.log.warn("A datagram failed.", { failures: this.failures, reason: describeError(error) });
        }
        this.failures++;
    }
}
