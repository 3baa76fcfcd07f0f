/** Entries of a replay: the real decisions, with messages in simulated time in place of sockets. */
import { EntryCore } from "../core/entryCore.js";
import type { PeerChannelPort, PeerIdentity, PeerPacket } from "../ports/peerChannelPort.js";
import { StateKind } from "../ports/statePort.js";
import type { EndpointRecord, PlacementPolicy, RoutingConfiguration } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import type { PartLog } from "../utils/log.js";
import type { Random } from "../utils/random.js";
import type { SimulatedFleet } from "./simulatedFleet.js";

/** A line that an entry logged. */
export interface ReplayLine {
    /** Milliseconds since the start. */
    time: Milliseconds;
    entry: string;
    message: string;
    fields: Record<string, unknown>;
}

/** What the entries of a replay have in common. */
export interface SimulatedEntriesParts {
    clock: Clock;
    random: Random;
    fleet: SimulatedFleet;
    count: number;
    dataCentres: number;
    policy: PlacementPolicy;
    /** Whether entries tell one another what they place. */
    shared: boolean;
    /** One way between two instances, and the part of the datagrams that is lost. */
    delay: Milliseconds;
    loss: number;
    lines: ReplayLine[];
}

const repeatLimits = { share: 0.2, window: 10_000, extra: 100 };
const coldLimits = { factor: 1.5, extra: 5 };

/** The entries. */
export class SimulatedEntries {
    readonly entries: readonly EntryCore[];
    private readonly byAddress = new Map<string, EntryCore>();
    private readonly cutOff = new Set<string>();
    private revision = 0;

    constructor(private readonly parts: SimulatedEntriesParts) {
        const identities = [...Array(parts.count).keys()].map(index => ({
            id: `entry-${index}`,
            address: `10.1.0.${index}:7000`,
            incarnation: "1",
        }));
        this.entries = identities.map((self, index) => this.start(self, `centre-${index % parts.dataCentres}`));
        for (const entry of this.entries) {
            entry.peers.applyListing(identities);
            void entry.peers.runHeartbeats(new AbortController().signal);
        }
    }

    /** Datagrams that were sent, over all entries. */
    sent = 0;

    /** Puts a configuration in force everywhere. */
    configure(configuration: RoutingConfiguration): void {
        for (const { configuration: active } of this.entries) {
            active.adopt(configuration);
        }
    }

    /** All entries learn of these endpoints. */
    list(records: readonly EndpointRecord[]): void {
        const revision = ++this.revision;
        const items = records.map(record => ({ name: record.id, revision, value: record }));
        for (const { directory } of this.entries) {
            directory.replace({ revision, items }, false);
        }
    }

    /** Operators take a data centre out, or back. */
    setOut(dataCentre: string, out: boolean): void {
        const revision = ++this.revision;
        const change = { name: dataCentre, revision, value: true as const, removed: !out };
        for (const { directory } of this.entries) {
            directory.excludedDataCentres.apply({ revision, changes: [change] }, false);
        }
    }

    /** Datagrams of these entries are lost, or arrive again. */
    cut(entries: readonly EntryCore[], lost: boolean): void {
        for (const { address } of entries) {
            if (lost) {
                this.cutOff.add(address);
            }
            else {
                this.cutOff.delete(address);
            }
        }
    }

    private start(self: PeerIdentity, dataCentre: string): EntryCore {
        const { clock, random, fleet, policy, shared } = this.parts;
        const entry = new EntryCore({
            clock,
            random,
            log: part => this.partLog(self.id, part),
            self,
            dataCentre,
            channel: this.channel(self.address),
            endpointPort: fleet,
            memoryPort: fleet,
            policy,
            publishesPlacements: shared,
            retryLimits: () => repeatLimits,
            coldLimits: () => coldLimits,
            knownRevisions: () => ({ [StateKind.Endpoints]: this.revision }),
            readAges: () => ({ [StateKind.Endpoints]: 0 }),
            isStoreReachable: () => true,
            plannedStop: () => undefined,
        });
        this.byAddress.set(self.address, entry);
        return entry;
    }

    private channel(from: string): PeerChannelPort {
        const { clock, random, delay, loss } = this.parts;
        return {
            send: (addresses: readonly string[], packet: PeerPacket) => {
                for (const address of addresses) {
                    this.sent++;
                    if (random.next() >= loss && !this.cutOff.has(from) && !this.cutOff.has(address)) {
                        clock.after(delay, () => this.byAddress.get(address)?.peers.receive(packet));
                    }
                }
            },
        };
    }

    private partLog(entry: string, part: string): PartLog {
        const take = (message: string, fields: Record<string, unknown> = {}) => {
            this.parts.lines.push({ time: this.parts.clock.now(), entry, message: `${part}: ${message}`, fields });
        };
        return { info: take, warn: take, error: take };
    }
}
