/**
 * Who is told directly, and who by whom, so that what one entry sends doesn't grow with the number of entries.
 *
 * Load pattern: dozens of entries tell one another each placement. A message to each of sixty fills a thin link for 25 ms,
 * and until then others choose the same endpoints. Entries of a data centre form groups of about the square root of their
 * number; one entry of each group is told and tells the rest of its group. All who know the same entries form the same
 * groups. An entry that is told twice or, while entries come and go, not at all, takes no harm: messages are repeatable,
 * and beliefs decay by themselves.
 */
import type { Random } from "../../utils/random.js";

/** Up to so many entries are told directly: a message to each is then quicker than one more hop. */
const directAtMost = 12;

/** An entry, as far as groups go. */
export interface GroupMember {
    id: string;
    address: string;
    dataCentre: string;
}

/** Whom to send a message. */
export interface FanOut {
    /** Told for themselves. */
    direct: string[];
    /** Told for themselves and for the others of their group. */
    relays: string[];
}

/** How this entry reaches all of `others`. */
export const fanOut = (self: GroupMember, others: readonly GroupMember[], random: Random): FanOut => {
    if (others.length <= directAtMost) {
        return { direct: others.map(({ address }) => address), relays: [] };
    }
    const direct: string[] = [];
    const relays: string[] = [];
    for (const group of groupsOf([self, ...others])) {
        if (group.some(({ id }) => id === self.id)) {
            direct.push(...group.filter(({ id }) => id !== self.id).map(({ address }) => address));
            continue;
        }
        relays.push(group[Math.floor(random.next() * group.length)]!.address);
    }
    return { direct, relays };
};

/** The others of this entry's own group, whom it tells what it was told as a relay. */
export const groupOf = (self: GroupMember, others: readonly GroupMember[]): string[] => {
    const own = groupsOf([self, ...others]).find(group => group.some(({ id }) => id === self.id)) ?? [];
    return own.filter(({ id }) => id !== self.id).map(({ address }) => address);
};

const groupsOf = (members: readonly GroupMember[]): GroupMember[][] => {
    const byDataCentre = new Map<string, GroupMember[]>();
    for (const member of members) {
        const present = byDataCentre.get(member.dataCentre) ?? [];
        byDataCentre.set(member.dataCentre, [...present, member]);
    }
    const groups: GroupMember[][] = [];
    for (const present of byDataCentre.values()) {
        present.sort((left, right) => left.id < right.id ? -1 : 1);
        const size = Math.ceil(Math.sqrt(present.length));
        for (let start = 0; start < present.length; start += size) {
            groups.push(present.slice(start, start + size));
        }
    }
    return groups;
};
