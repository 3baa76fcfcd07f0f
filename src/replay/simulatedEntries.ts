/** The entries of a replay: the production code of `EntryCore`, with messages in simulated time instead of sockets. */
import { EntryCore } from "../core/entryCore.js";
import { defaultSchedulingSettings, type SchedulingSettings } from "../core/scheduling/schedulingPolicy.js";
import type { PeerChannelPort, PeerIdentity, PeerPacket } from "../ports/peerChannelPort.js";
import { StateKind } from "../ports/statePort.js";
import type { EndpointRecord, PlacementPolicy, RoutingConfiguration } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import type { PartLog } from "../utils/log.js";
import type { Random } from "../utils/random.js";
import { SimulatedCrashStore } from "./simulatedCrashStore.js";
import type { SimulatedFleet } from "./simulatedFleet.js";
import { SimulatedQuarantineStore } from "./simulatedQuarantineStore.js";

/** A line of an entry's log. */
export interface ReplayLogLine {
    /** Time since the start. */
    time: Milliseconds;
    entry: string;
    message: string;
    fields: Record<string, unknown>;
}

/** Options that all entries of a replay share. */
export interface SimulatedEntriesOptions {
    clock: Clock;
    random: Random;
    fleet: SimulatedFleet;
    count: number;
    dataCentres: number;
    policy: PlacementPolicy;
    /** Whether entries publish their placements to one another. */
    sharesLoads: boolean;
    /** Optional parts of the scheduling that differ from the default. */
    scheduling?: Partial<SchedulingSettings>;
    /** One-way network delay between two instances, and the share of the datagrams that is lost. */
    delay: Milliseconds;
    loss: number;
    lines: ReplayLogLine[];
}

const retryLimits = { share: 0.2, window: 10_000, extra: 100 };
const coldStartLimits = { factor: 1.5, extra: 5 };

const countQuestions = ({ messages }: PeerPacket): number =>
    messages.flatMap(({ news }) => news).filter(({ type }) => type === "PlacementAsked").length;

/** All entries of a replay. */
export class SimulatedEntries {
    readonly entries: readonly EntryCore[];
    private readonly entryByAddress = new Map<string, EntryCore>();
    private readonly partitionedAddresses = new Set<string>();
    /** Entries that exchange no messages with the others. */
    private splitAddresses: ReadonlySet<string> = new Set();
    /** Entries that receive no messages. */
    private deafAddresses: ReadonlySet<string> = new Set();
    private readonly quarantineStore = new SimulatedQuarantineStore();
    private readonly crashStore: SimulatedCrashStore;
    private revision = 0;

    constructor(private readonly options: SimulatedEntriesOptions) {
        const identities = [...Array(options.count).keys()].map(index => ({
            id: `entry-${index}`,
            address: `10.1.0.${index}:7000`,
            incarnation: "1",
        }));
        this.crashStore = new SimulatedCrashStore(options.clock);
        this.entries = identities.map((self, index) => this.startEntry(self, `centre-${index % options.dataCentres}`));
        for (const entry of this.entries) {
            entry.peers.applyListing(identities);
            const { signal } = new AbortController();
            void entry.peers.runHeartbeats(signal);
            void entry.quarantineKeeper.run(signal);
            void entry.crashExchange.run(signal);
            void entry.links.run(signal);
        }
    }

    /** Whether datagrams between the first two data centres are lost. */
    cutDataCentres = false;
    /** Number of datagrams that all entries have sent. */
    sentDatagramCount = 0;
    /** Number of placement questions among them. */
    sentQuestionCount = 0;

    /** Activates a configuration at all entries. */
    adoptConfiguration(configuration: RoutingConfiguration): void {
        for (const { configuration: active } of this.entries) {
            active.adopt(configuration);
        }
    }

    /** Replaces the list of endpoints at all entries. */
    publishEndpoints(records: readonly EndpointRecord[]): void {
        const revision = ++this.revision;
        const items = records.map(record => ({ name: record.id, revision, value: record }));
        for (const { directory } of this.entries) {
            directory.replace({ revision, items }, false);
        }
    }

    /** Takes a data centre out, or brings it back in, as operators do. */
    setDataCentreOut(dataCentre: string, out: boolean): void {
        const revision = ++this.revision;
        const change = { name: dataCentre, revision, value: true as const, removed: !out };
        for (const { directory } of this.entries) {
            directory.excludedDataCentres.apply({ revision, changes: [change] }, false);
        }
    }

    /** Starts or stops dropping all datagrams to and from these entries. */
    setPartitioned(entries: readonly EntryCore[], partitioned: boolean): void {
        for (const { address } of entries) {
            if (partitioned) {
                this.partitionedAddresses.add(address);
            }
            else {
                this.partitionedAddresses.delete(address);
            }
        }
    }

    /** Drops all datagrams between these entries and the others from now on. */
    setSplit(entries: readonly EntryCore[]): void {
        this.splitAddresses = new Set(entries.map(({ address }) => address));
    }

    /** Drops all datagrams to these entries from now on. */
    setDeaf(entries: readonly EntryCore[]): void {
        this.deafAddresses = new Set(entries.map(({ address }) => address));
    }

    private startEntry(self: PeerIdentity, dataCentre: string): EntryCore {
        const { clock, random, fleet, policy, sharesLoads, scheduling } = this.options;
        const entry = new EntryCore({
            clock,
            random,
            log: part => this.createPartLog(self.id, part),
            self,
            dataCentre,
            channel: this.createChannel(self.address),
            endpointPort: fleet.portOf(self.id),
            memoryPort: fleet.memoryPortOf(self.id),
            quarantineStore: this.quarantineStore,
            crashStore: this.crashStore,
            policy,
            publishesPlacements: sharesLoads,
            scheduling: () => ({ ...defaultSchedulingSettings, ...scheduling }),
            retryLimits: () => retryLimits,
            coldLimits: () => coldStartLimits,
            knownRevisions: () => ({ [StateKind.Endpoints]: this.revision }),
            readAges: () => ({ [StateKind.Endpoints]: 0 }),
            isFirstStart: true,
            isStoreReachable: () => true,
            plannedStop: () => undefined,
            fetchMembers: async (address, scope) => {
                await clock.sleep(2 * this.options.delay);
                return this.isCut(self.address, address)
                    ? undefined
                    : this.entryByAddress.get(address)?.peers.listMembers(scope);
            },
            announcePause: ({ address }, endpoint, duration) => {
                clock.after(
                    this.options.delay,
                    () => this.entryByAddress.get(address)?.pauses.record(endpoint, duration),
                );
            },
        });
        this.entryByAddress.set(self.address, entry);
        fleet.connections.addRelay(self.address, { entry: self.id, links: entry.links, guard: entry.relayGuard });
        return entry;
    }

    private createChannel(from: string): PeerChannelPort {
        const { clock, random, delay, loss } = this.options;
        return {
            send: (addresses: readonly string[], packet: PeerPacket) => {
                for (const address of addresses) {
                    this.sentDatagramCount++;
                    this.sentQuestionCount += countQuestions(packet);
                    const isLost = random.next() < loss || this.isCut(from, address);
                    if (!isLost) {
                        clock.after(delay, () => this.entryByAddress.get(address)?.peers.receive(packet));
                    }
                }
            },
        };
    }

    private isCut(from: string, to: string): boolean {
        if (this.partitionedAddresses.has(from) || this.partitionedAddresses.has(to)) {
            return true;
        }
        if (this.deafAddresses.has(to) || this.splitAddresses.has(from) !== this.splitAddresses.has(to)) {
            return true;
        }
        const dataCentres = [from, to].map(address => this.entryByAddress.get(address)?.dataCentre).sort();
        return this.cutDataCentres && dataCentres[0] === "centre-0" && dataCentres[1] === "centre-1";
    }

    private createPartLog(entry: string, part: string): PartLog {
        const recordLine = (message: string, fields: Record<string, unknown> = {}) => {
            this.options.lines.push({ time: this.options.clock.now(), entry, message: `${part}: ${message}`, fields });
        };
        return { info: recordLine, warn: recordLine, error: recordLine };
    }
}
