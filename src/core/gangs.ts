/** Prompts larger than one engine: disjoint gangs of engines in one data centre, reserved all or nothing. */
import {
    Clock,
    Endpoint,
    EndpointTable,
    EngineLostError,
    EnginePort,
    EngineRefusal,
    EngineRefusedError,
    Execution,
    FailureKind,
    fullJitter,
    Holdings,
    PauseGuard,
    Random,
    randomIdentifier,
    RequestFailure,
    Service,
    Work,
} from "../internal.js";

/** How long a gang's leader is kept while its other members have no memory free. */
const gatherMilliseconds = 5_000;
const gatherRetryMilliseconds = 50;
const gatherRetryCeilingMilliseconds = 400;

/** A gang with the memory of one prompt reserved. */
export interface GangPlacement {
    leader: Endpoint;
    members: Endpoint[];
    reservationId: string;
    /** Whether every member still may get work and is warm. */
    sendAllowed(): boolean;
    release(): Promise<void>;
}

/** What gangs work with. */
export interface GangParts {
    clock: Clock;
    random: Random;
    table: EndpointTable;
    engines: EnginePort;
    holdings: Holdings;
    allowed: (endpoint: Endpoint) => boolean;
    guard: PauseGuard;
    self: { instance: string; incarnation: string; };
}

/** Splits endpoints into disjoint gangs of `size` within each data centre, the same on every entry. */
export const formGangs = (endpoints: readonly Endpoint[], size: number): Endpoint[][] => {
    const byDataCentre = new Map<string, Endpoint[]>();
    for (const endpoint of endpoints) {
        const dataCentre = endpoint.record.dataCentre;
        byDataCentre.set(dataCentre, [...byDataCentre.get(dataCentre) ?? [], endpoint]);
    }
    const gangs: Endpoint[][] = [];
    for (const members of byDataCentre.values()) {
        members.sort((first, second) => first.id < second.id ? -1 : 1);
        for (let start = 0; start + size <= members.length; start += size) {
            gangs.push(members.slice(start, start + size));
        }
    }
    return gangs;
};

const freeMemory = (gang: readonly Endpoint[]): number => Math.min(...gang.map(member => member.freeMemoryTokens()));

/**
 * Reserves gangs.
 *
 * Two long prompts that each hold half of what both need would wait for each other until their deadlines; one would
 * notice memory in use with nothing running. Gangs are disjoint and every entry reserves a gang's leader first, so
 * whoever holds the leader is alone in gathering the rest.
 */
export class Gangs {
    constructor(private readonly parts: GangParts) {}

    /** Whether a prompt needs more than one engine of the service. */
    needed(work: Work): boolean {
        let capacity = 0;
        for (const endpoint of this.parts.table.ofService(work.service)) {
            capacity = Math.max(capacity, endpoint.report?.memoryCapacityTokens ?? 0);
        }
        return capacity > 0 && work.memoryTokens > capacity;
    }

    /** Resolves with a reserved gang. Throws {@link RequestFailure} with `not-run`. */
    async place(work: Work, service: Service, avoid: ReadonlySet<string>): Promise<GangPlacement> {
        this.checkSize(work, service);
        let round = 0;
        while (true) {
            if (work.deadline.expired || work.signal.aborted) {
                const detail = "no gang of engines had its memory free before the deadline";
                throw new RequestFailure(FailureKind.Overloaded, Execution.NotRun, detail, 10);
            }
            for (const gang of this.candidates(work, service, avoid)) {
                const placement = await this.reserve(work, gang);
                if (placement) {
                    return placement;
                }
            }
            const wait = fullJitter(
                this.parts.random,
                gatherRetryMilliseconds,
                round++,
                gatherRetryCeilingMilliseconds,
            );
            await this.parts.clock.sleep(work.deadline.bounded(gatherRetryMilliseconds + wait), work.signal);
        }
    }

    private checkSize(work: Work, service: Service): void {
        let capacity = 0;
        for (const gang of formGangs(this.parts.table.ofService(work.service), service.gangSize)) {
            const capacities = gang.map(member => member.report?.memoryCapacityTokens ?? 0);
            capacity = Math.max(capacity, Math.min(...capacities) * gang.length);
        }
        if (work.memoryTokens > capacity) {
            const detail = `the prompt and its answer take ${work.memoryTokens} tokens; `
                + `the largest gang of engines holds ${capacity}`;
            throw new RequestFailure(FailureKind.PromptTooLarge, Execution.NotRun, detail);
        }
    }

    private candidates(work: Work, service: Service, avoid: ReadonlySet<string>): Endpoint[][] {
        const gangs = formGangs(this.parts.table.ofService(work.service), service.gangSize);
        const usable = gangs.filter(gang => this.usable(gang));
        const fresh = usable.filter(gang => !gang.some(member => avoid.has(member.id)));
        const share = work.memoryTokens / service.gangSize;
        return (fresh.length > 0 ? fresh : usable)
            .filter(gang => freeMemory(gang) >= share)
            .sort((first, second) => freeMemory(second) - freeMemory(first));
    }

    private usable(gang: readonly Endpoint[]): boolean {
        return this.parts.guard.fresh()
            && gang.every(member => this.parts.allowed(member) && this.parts.table.trust(member).type === "Warm");
    }

    private async reserve(work: Work, gang: Endpoint[]): Promise<GangPlacement | undefined> {
        const reservationId = `gang-${randomIdentifier(this.parts.random)}`;
        const share = Math.ceil(work.memoryTokens / gang.length);
        const gatherUntil = this.parts.clock.now() + work.deadline.bounded(gatherMilliseconds);
        const reserved: Endpoint[] = [];
        this.parts.holdings.claim(reservationId);
        for (const member of gang) {
            const until = reserved.length === 0 ? 0 : gatherUntil;
            reserved.push(member);
            if (!await this.reserveMember(member, reservationId, share, until, work)) {
                await this.releaseAll(reserved, reservationId);
                return undefined;
            }
        }
        return {
            leader: gang[0]!,
            members: gang,
            reservationId,
            sendAllowed: () => this.usable(gang),
            release: () => this.releaseAll(gang, reservationId),
        };
    }

    private async reserveMember(
        member: Endpoint,
        id: string,
        tokens: number,
        until: number,
        work: Work,
    ): Promise<boolean> {
        const { instance: owner, incarnation: ownerIncarnation } = this.parts.self;
        while (true) {
            try {
                await this.parts.engines.reserve(member.record.address, {
                    id,
                    kind: "reservation",
                    owner,
                    ownerIncarnation,
                    tokens,
                });
                return true;
            }
            catch (error) {
                if (error instanceof EngineLostError) {
                    return false;
                }
                const full = error instanceof EngineRefusedError && error.refusal === EngineRefusal.Memory;
                if (!full || this.parts.clock.now() >= until) {
                    return false;
                }
            }
            await this.parts.clock.sleep(gatherRetryMilliseconds, work.signal);
        }
    }

    private async releaseAll(members: readonly Endpoint[], reservationId: string): Promise<void> {
        await Promise.all(members.map(member => this.parts.holdings.release(member.record.address, reservationId)));
    }
}
