/** Entries of several site sizes that exchange updates in simulated time, without sockets. */
import type { DigestScope, MemberList } from "../../../src/core/membership/memberDigest.js";
import { Membership } from "../../../src/core/membership/membership.js";
import { Peers } from "../../../src/core/membership/peers.js";
import { type PlacedWork, WorkPart } from "../../../src/core/placement/engineEstimate.js";
import { LoadEstimator } from "../../../src/core/placement/loadEstimator.js";
import { SharedLoadEstimator } from "../../../src/core/placement/sharedLoadEstimator.js";
import type { PeerPacket } from "../../../src/ports/peerChannelPort.js";
import { SimulatedClock } from "../../../src/replay/simulatedClock.js";
import { silentLog } from "../../../src/utils/log.js";

const networkDelay = 1;

/** One entry of a site. */
export interface Member {
    id: string;
    address: string;
    peers: Peers;
    membership: Membership;
    loads: SharedLoadEstimator;
    abort: AbortController;
    /** Requests in progress, as its heartbeats list them. */
    active: string[];
    sent: number;
    /** Whether it receives datagrams. */
    isReachable: boolean;
}

/** Work of the request `r` at the endpoint `e`. */
export const workOf = (owner: string): PlacedWork => ({
    id: "r",
    owner,
    endpoint: "e",
    contextTokens: 10,
    readTokens: 10,
    readTime: 0,
    targetGap: 200,
    value: 1,
    yielding: false,
    part: WorkPart.Main,
    firstEventIn: undefined,
    endsBy: 60_000,
});

/** Entries that start together with the first three as seeds. */
export class Site {
    readonly clock = new SimulatedClock();
    readonly members: Member[] = [];

    /** Decides which datagrams are lost. */
    isLost: (from: Member, to: Member) => boolean = () => false;

    /** `usesDigests`: whether heartbeats go by way of the placers, by entry. */
    constructor(count: number, private readonly usesDigests: (index: number) => boolean = () => false) {
        for (let index = 0; index < count; index++) {
            this.start(index, "first");
        }
    }

    start(index: number, incarnation: string): Member {
        const { clock } = this;
        const id = `entry-${index}`;
        const address = `10.0.0.${index}:1`;
        const loads = new SharedLoadEstimator(new LoadEstimator(clock, () => undefined), clock);
        const peers = new Peers({
            clock,
            log: silentLog,
            channel: { send: (addresses, packet) => this.send(member, addresses, packet) },
            loads,
            publishesLoads: true,
            self: { id, address, incarnation },
            dataCentre: `centre-${index % 3}`,
            knownRevisions: () => ({}),
            readAges: () => ({}),
            isStoreReachable: () => true,
            activeRequestIds: () => member.active,
            usesDigests: () => this.usesDigests(index),
            fetchMembers: (fetchAddress, scope) => this.fetchMembers(member, fetchAddress, scope),
        });
        const ending = new AbortController();
        const member: Member = {
            id,
            address,
            peers,
            membership: new Membership(peers, id),
            loads,
            abort: ending,
            active: [],
            sent: 0,
            isReachable: true,
        };
        this.members[index] = member;
        peers.sendGreetings(this.members.slice(0, 3).filter(other => other !== member).map(other => other.address));
        void peers.runHeartbeats(ending.signal);
        return member;
    }

    stop(index: number): void {
        this.members[index]!.abort.abort();
        this.members[index]!.isReachable = false;
    }

    /** Average number of datagrams that an entry sends per second, over `seconds`. */
    async sentPerSecond(seconds: number): Promise<number> {
        for (const member of this.members) {
            member.sent = 0;
        }
        await this.clock.run(this.clock.now() + seconds * 1_000);
        return this.members.reduce((sum, { sent }) => sum + sent, 0) / this.members.length / seconds;
    }

    private send(from: Member, addresses: readonly string[], packet: PeerPacket): void {
        for (const address of addresses) {
            from.sent++;
            this.clock.after(networkDelay, () => {
                const to = this.members.find(member => member.address === address);
                if (to?.isReachable && !this.isLost(from, to)) {
                    to.peers.receive(packet);
                }
            });
        }
    }

    private async fetchMembers(from: Member, address: string, scope: DigestScope): Promise<MemberList | undefined> {
        await this.clock.sleep(2 * networkDelay);
        const to = this.members.find(member => member.address === address);
        const isAnswered = to?.isReachable && !this.isLost(from, to) && !this.isLost(to, from);
        return isAnswered ? to.peers.listMembers(scope) : undefined;
    }
}
