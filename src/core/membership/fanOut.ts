/**
 * Partitions the entries into groups and selects the relays that forward updates to them, so that the datagrams one entry
 * sends for an update grow more slowly than the number of entries.
 *
 * Load pattern: hundreds of entries send each other every change. One message to each of them occupies a slow link for 100
 * ms, during which the receivers act on stale state. The entries of a data centre therefore form groups of about the square
 * root of their number; the sender reaches one entry of each other group, which relays to the others of its group. Entries with
 * the same membership list form the same groups. While entries join or leave, an entry may receive an update twice or not at
 * all; updates are idempotent, and estimates expire by themselves.
 */
import type { Milliseconds } from "../../utils/clock.js";
import { fullMeshPeerLimit } from "./placers.js";

/** How long one entry relays the updates of other groups before the next entry of its group takes over. */
const relayRotationInterval: Milliseconds = 1_000;

/** The properties of an entry that determine its group. */
export interface GroupMember {
    id: string;
    address: string;
    dataCentre: string;
    /** Whether its latest heartbeats arrived, so that it is eligible as a relay. */
    isFresh: boolean;
}

/** Addresses of the other entries, grouped from one entry's perspective. */
export interface Groups {
    /** The other entries of this entry's group, or all other entries of a small site. They get each update directly. */
    ownGroup: readonly string[];
    /** Relay candidates of each other group. One of them gets each update and relays it within its group. */
    otherGroups: readonly (readonly string[])[];
}

/** Groups `self` and `others`. */
export const formGroups = (self: GroupMember, others: readonly GroupMember[]): Groups => {
    if (others.length <= fullMeshPeerLimit) {
        return { ownGroup: others.map(({ address }) => address), otherGroups: [] };
    }
    let ownGroup: string[] = [];
    const otherGroups: string[][] = [];
    for (const group of partitionIntoGroups([self, ...others])) {
        if (group.includes(self)) {
            ownGroup = group.filter(member => member !== self).map(({ address }) => address);
        }
        else {
            const fresh = group.filter(member => member.isFresh);
            otherGroups.push((fresh.length > 0 ? fresh : group).map(({ address }) => address));
        }
    }
    return { ownGroup, otherGroups };
};

/**
 * Selects one relay of each other group. All senders select the same relay during one rotation interval, so that it batches
 * their updates into common datagrams. Clock skew only makes senders select different relays.
 */
export const selectRelays = ({ otherGroups }: Groups, wallTime: Milliseconds): string[] => {
    const rotation = Math.floor(wallTime / relayRotationInterval);
    return otherGroups.map(group => group[rotation % group.length]!);
};

const partitionIntoGroups = (members: readonly GroupMember[]): GroupMember[][] => {
    const byDataCentre = new Map<string, GroupMember[]>();
    for (const member of members) {
        const dataCentreMembers = byDataCentre.get(member.dataCentre);
        if (dataCentreMembers) {
            dataCentreMembers.push(member);
        }
        else {
            byDataCentre.set(member.dataCentre, [member]);
        }
    }
    const groups: GroupMember[][] = [];
    for (const dataCentreMembers of byDataCentre.values()) {
        dataCentreMembers.sort((left, right) => left.id < right.id ? -1 : 1);
        const size = Math.ceil(Math.sqrt(dataCentreMembers.length));
        for (let start = 0; start < dataCentreMembers.length; start += size) {
            groups.push(dataCentreMembers.slice(start, start + size));
        }
    }
    return groups;
};
