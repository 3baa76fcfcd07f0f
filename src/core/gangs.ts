/**
 * Places prompts that exceed one engine's memory on gangs: disjoint groups of engines in one data centre. The entry
 * reserves memory on all members of a gang or on none, so that prompts can't deadlock over partly reserved gangs.
 */
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

/** Longest time for which a gang's leader stays reserved while another member lacks free memory. */
const gatherTimeoutMilliseconds = 5_000;
const gatherRetryDelayMilliseconds = 50;
const maximumGatherRetryDelayMilliseconds = 400;

/** A gang with memory reserved for one prompt. */
export interface GangPlacement {
    leader: Endpoint;
    members: Endpoint[];
    reservationId: string;
    /** Whether every member is warm and may still receive work. */
    maySend(): boolean;
    release(): Promise<void>;
}

/** Dependencies of {@link Gangs}. */
export interface GangDependencies {
    clock: Clock;
    random: Random;
    table: EndpointTable;
    engines: EnginePort;
    holdings: Holdings;
    mayReceiveWork: (endpoint: Endpoint) => boolean;
    guard: PauseGuard;
    self: { instance: string; incarnation: string; };
}

/** Splits endpoints into disjoint gangs of `size` within each data centre; every entry computes the same gangs. */
export const formGangs = (endpoints: readonly Endpoint[], size: number): Endpoint[][] => {
    const endpointsByDataCentre = new Map<string, Endpoint[]>();
    for (const endpoint of endpoints) {
        const dataCentre = endpoint.record.dataCentre;
        endpointsByDataCentre.set(dataCentre, [...endpointsByDataCentre.get(dataCentre) ?? [], endpoint]);
    }
    const gangs: Endpoint[][] = [];
    for (const members of endpointsByDataCentre.values()) {
        members.sort((first, second) => first.id < second.id ? -1 : 1);
        for (let start = 0; start + size <= members.length; start += size) {
            gangs.push(members.slice(start, start + size));
        }
    }
    return gangs;
};

const smallestFreeMemoryTokens = (gang: readonly Endpoint[]): number =>
    Math.min(...gang.map(member => member.freeMemoryTokens()));

/**
 * Reserves gangs.
 *
 * Two long prompts that each reserved a part of the same memory would deadlock until their deadlines, with memory in use
 * and nothing running. Gangs are disjoint and every entry reserves the gang's leader first, so only the request that holds
 * the leader reserves the other members.
 */
export class Gangs {
    constructor(private readonly dependencies: GangDependencies) {}

    /** Whether a request needs more memory than the largest engine of its service has. */
    isNeededFor(work: Work): boolean {
        let largestCapacityTokens = 0;
        for (const endpoint of this.dependencies.table.ofService(work.service)) {
            largestCapacityTokens = Math.max(largestCapacityTokens, endpoint.report?.memoryCapacityTokens ?? 0);
        }
        return largestCapacityTokens > 0 && work.memoryTokens > largestCapacityTokens;
    }

    /** Resolves with a reserved gang. Throws {@link RequestFailure} with `not-run` if none can be reserved in time. */
    async place(work: Work, service: Service, avoidedEndpoints: ReadonlySet<string>): Promise<GangPlacement> {
        this.checkSize(work, service);
        let round = 0;
        while (true) {
            if (work.deadline.expired || work.signal.aborted) {
                const detail = "no gang of engines had enough free memory before the deadline";
                throw new RequestFailure(FailureKind.Overloaded, Execution.NotRun, detail, 10);
            }
            for (const gang of this.findCandidates(work, service, avoidedEndpoints)) {
                const placement = await this.reserve(work, gang);
                if (placement) {
                    return placement;
                }
            }
            const retryDelay = fullJitter(
                this.dependencies.random,
                gatherRetryDelayMilliseconds,
                round++,
                maximumGatherRetryDelayMilliseconds,
            );
            await this.dependencies.clock.sleep(
                work.deadline.bounded(gatherRetryDelayMilliseconds + retryDelay),
                work.signal,
            );
        }
    }

    private checkSize(work: Work, service: Service): void {
        let largestCapacityTokens = 0;
        for (const gang of formGangs(this.dependencies.table.ofService(work.service), service.gangSize)) {
            const capacities = gang.map(member => member.report?.memoryCapacityTokens ?? 0);
            largestCapacityTokens = Math.max(largestCapacityTokens, Math.min(...capacities) * gang.length);
        }
        if (work.memoryTokens > largestCapacityTokens) {
            const detail = `the prompt and its response take ${work.memoryTokens} tokens; `
                + `the largest gang of engines holds ${largestCapacityTokens}`;
            throw new RequestFailure(FailureKind.PromptTooLarge, Execution.NotRun, detail);
        }
    }

    private findCandidates(work: Work, service: Service, avoidedEndpoints: ReadonlySet<string>): Endpoint[][] {
        const gangs = formGangs(this.dependencies.table.ofService(work.service), service.gangSize);
        const usableGangs = gangs.filter(gang => this.isUsable(gang));
        const untried = usableGangs.filter(gang => !gang.some(member => avoidedEndpoints.has(member.id)));
        const memberShareTokens = work.memoryTokens / service.gangSize;
        return (untried.length > 0 ? untried : usableGangs)
            .filter(gang => smallestFreeMemoryTokens(gang) >= memberShareTokens)
            .sort((first, second) => smallestFreeMemoryTokens(second) - smallestFreeMemoryTokens(first));
    }

    private isUsable(gang: readonly Endpoint[]): boolean {
        return this.dependencies.guard.isFresh()
            && gang.every(member =>
                this.dependencies.mayReceiveWork(member) && this.dependencies.table.trust(member).type === "Warm"
            );
    }

    private async reserve(work: Work, gang: Endpoint[]): Promise<GangPlacement | undefined> {
        const reservationId = `gang-${randomIdentifier(this.dependencies.random)}`;
        const memberShareTokens = Math.ceil(work.memoryTokens / gang.length);
        const gatherUntil = this.dependencies.clock.now() + work.deadline.bounded(gatherTimeoutMilliseconds);
        const reserved: Endpoint[] = [];
        this.dependencies.holdings.register(reservationId);
        for (const member of gang) {
            const retryUntil = reserved.length === 0 ? 0 : gatherUntil;
            reserved.push(member);
            if (!await this.reserveMember(member, reservationId, memberShareTokens, retryUntil, work)) {
                await this.releaseAll(reserved, reservationId);
                return undefined;
            }
        }
        return {
            leader: gang[0]!,
            members: gang,
            reservationId,
            maySend: () => this.isUsable(gang),
            release: () => this.releaseAll(gang, reservationId),
        };
    }

    private async reserveMember(
        member: Endpoint,
        id: string,
        tokens: number,
        retryUntil: number,
        work: Work,
    ): Promise<boolean> {
        const { instance: owner, incarnation: ownerIncarnation } = this.dependencies.self;
        while (true) {
            try {
                await this.dependencies.engines.reserve(member.record.address, {
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
                const lacksMemory = error instanceof EngineRefusedError && error.refusal === EngineRefusal.Memory;
                if (!lacksMemory || this.dependencies.clock.now() >= retryUntil) {
                    return false;
                }
            }
            await this.dependencies.clock.sleep(gatherRetryDelayMilliseconds, work.signal);
        }
    }

    private async releaseAll(members: readonly Endpoint[], reservationId: string): Promise<void> {
        await Promise.all(
            members.map(member => this.dependencies.holdings.release(member.record.address, reservationId)),
        );
    }
}
