/**
 * Where this entry's requests go: asked of an entry that chooses for all near it, or chosen here.
 *
 * An entry that chooses for others knows what they place; this one then needs to hear of none of it. Without an answer it
 * chooses by what little it knows, which costs waits and nothing else: what may be sent at all is judged here in any case.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { ColdBudget } from "../budgets/coldBudget.js";
import { Allowance, type EndpointLimits } from "../budgets/endpointLimits.js";
import type { EndpointDirectory, KnownEndpoint } from "../membership/endpointDirectory.js";
import type { PlacerCandidate } from "../membership/placers.js";
import type { Metrics } from "../metrics.js";
import {
    type EndpointSelector,
    exceedsOneEngine,
    type Placement,
    type PlacementRequirements,
} from "./endpointSelector.js";
import { readWait } from "./loadEstimator.js";
import type { PlacementAnswer, PlacementQuestion, SerializedPlacement } from "./placementQuestion.js";
import { endpointsOfPlacement, workOfPlacement } from "./placementWork.js";
import type { SharedLoadEstimator } from "./sharedLoadEstimator.js";

/** An answer takes a few milliseconds; an instance whose share of a processor is used up waits for longer than this. */
const answerAtMost: Milliseconds = 40;
/** Placers that are asked for one request; only one while others give no answer, as it may be this entry that is cut off. */
const askedAtMost = 2;
/** Where fewer endpoints than this part have got less than they named, those are asked for more that bear it. */
const leastWithinPart = 0.5;
/** Questions whose answer may still come. */
const lateRemembered = 64;

/** What asking needs of the other entries. */
export interface PlacerPeers {
    /** Who may be asked now, in this order; none where this entry chooses itself. */
    placersToAsk(): readonly PlacerCandidate[];
    /** Whether some of them gave no answer of late. */
    placersRest(): boolean;
    /** Notes that an entry gave no answer. */
    notePlacerSilent(id: string): void;
    askPlacement(address: string, question: PlacementQuestion): void;
}

/** What choosing needs. */
export interface PlacingParts {
    clock: Clock;
    log: PartLog;
    metrics: Metrics;
    /** Names this entry. */
    entry: string;
    directory: EndpointDirectory;
    cold: ColdBudget;
    limits: EndpointLimits;
    placer: EndpointSelector;
    loads: SharedLoadEstimator;
    peers: PlacerPeers;
}

/** A request that looks for an endpoint. */
export interface PlacementRequest {
    id: string;
    requirements: PlacementRequirements;
    /** When it has ended at the latest. */
    endsBy: Milliseconds;
}

/** Where a request would go that leaves a silent endpoint, and how long that one still reads what it has. */
export interface Alternative {
    placement: Placement | undefined;
    busyFor: Milliseconds;
}

/** An answer, and who gave it. */
interface Answered {
    placer: string;
    answer: PlacementAnswer;
}

type Waiter = (answer: PlacementAnswer | undefined) => void;

/** Chooses endpoints for this entry's requests. */
export class PlacementClient {
    private serial = 0;
    private readonly waiting = new Map<number, Waiter>();
    /** Requests whose answer didn't come in time, by question. */
    private readonly late = new Map<number, string>();

    constructor(private readonly parts: PlacingParts) {}

    /** The best endpoint now; undefined when there is none. */
    async choose(request: PlacementRequest): Promise<Placement | undefined> {
        if (this.parts.peers.placersToAsk().length === 0) {
            return this.chooseHere(request);
        }
        const answered = await this.ask(request, undefined);
        if (answered?.answer.type === "NoEndpoint" && exceedsOneEngine(request.requirements)) {
            // Only who knows all work in progress knows where memory is free.
            return undefined;
        }
        if (answered?.answer.type === "Chosen") {
            const { placer, answer } = answered;
            const placement = this.resolve(request, answer.placement);
            if (placement) {
                return this.note(request, { ...placement, chosenBy: placer }, true);
            }
            this.refuse(request, answer.placement);
        }
        this.parts.metrics.count("placements_without_placer_total");
        return this.chooseHere(request);
    }

    /** Where else a request would go that may leave `endpoint`; nothing is noted. */
    async findAlternative(request: PlacementRequest, endpoint: string): Promise<Alternative> {
        const answer = (await this.ask(request, endpoint))?.answer;
        if (answer?.type === "Chosen") {
            return { placement: this.resolve(request, answer.placement, endpoint), busyFor: answer.busyFor };
        }
        const busyFor = readWait(this.parts.loads.load(endpoint));
        const placement = this.parts.placer.select(request.requirements, this.candidates(request, endpoint));
        return { placement, busyFor };
    }

    /** Takes another entry's answer. */
    receiveAnswer(answer: PlacementAnswer): void {
        const waiter = this.waiting.get(answer.serial);
        if (waiter) {
            waiter(answer);
            return;
        }
        const requestId = this.late.get(answer.serial);
        if (requestId !== undefined && answer.type === "Chosen") {
            const { endpoint, helpers } = answer.placement;
            this.parts.loads.recordEnded([endpoint, ...helpers], requestId);
        }
    }

    /** A placement won't be used. */
    release(placement: Placement, id: string): void {
        if (placement.recorded) {
            this.parts.loads.recordEnded(endpointsOfPlacement(placement), id);
        }
    }

    /**
     * Endpoints that this entry may send a request to now. Where most have got what they named, all are left that bear a little
     * more: the few others would be filled up, and callers turned away.
     */
    candidates({ requirements: { service } }: PlacementRequest, without?: string): KnownEndpoint[] {
        const { clock, cold, directory, limits } = this.parts;
        const open = directory.usable(service.name).filter(({ record, coldUntil }) =>
            record.id !== without
            && (clock.now() >= coldUntil || cold.allows(record.id, service.coldRequestsPerSecond))
        );
        const within = open.filter(({ record }) => limits.allows(record.id, Allowance.Named));
        return within.length >= leastWithinPart * open.length
            ? within
            : open.filter(({ record }) => limits.allows(record.id, Allowance.Excess));
    }

    /** Time until an endpoint whose limit is used up has room again; undefined where there is none. */
    timeUntilCapacity({ requirements: { service } }: PlacementRequest): Milliseconds | undefined {
        const spent = this.spent(service.name);
        return spent.length === 0 ? undefined : Math.min(...spent.map(id => this.parts.limits.timeUntilCapacity(id)));
    }

    /** Endpoints that have got this entry's share of what they take. */
    private spent(service: string): string[] {
        const { directory, limits } = this.parts;
        return directory.usable(service).map(({ record }) => record.id).filter(id =>
            !limits.allows(id, Allowance.Named)
        );
    }

    private chooseHere(request: PlacementRequest): Placement | undefined {
        const placement = this.parts.placer.select(request.requirements, this.candidates(request));
        return placement && this.note(request, placement, false);
    }

    /** Work is noted with the choice: another request may be placed before this one is sent. */
    private note(request: PlacementRequest, placement: Placement, known: boolean): Placement {
        if (placement.postponed) {
            return placement;
        }
        const { id, endsBy, requirements: { promptTokens, targetGap } } = request;
        const { loads, entry } = this.parts;
        loads.recordPlaced(workOfPlacement(placement, { id, owner: entry, promptTokens, targetGap, endsBy }), known);
        return { ...placement, recorded: true };
    }

    /** Asks one placer after the other; undefined when none answers. */
    private async ask(request: PlacementRequest, without: string | undefined): Promise<Answered | undefined> {
        const { peers, log } = this.parts;
        const limit = peers.placersRest() ? 1 : askedAtMost;
        for (const { id, address } of peers.placersToAsk().slice(0, limit)) {
            const answer = await this.askOne(address, request, without);
            if (answer && answer.type !== "Declined") {
                return { placer: id, answer };
            }
            peers.notePlacerSilent(id);
            log.info("An entry that chooses endpoints gave no answer.", {
                requestId: request.id,
                placer: id,
                declined: answer !== undefined,
            });
        }
        return undefined;
    }

    private askOne(
        address: string,
        request: PlacementRequest,
        without: string | undefined,
    ): Promise<PlacementAnswer | undefined> {
        const { clock, peers } = this.parts;
        const serial = ++this.serial;
        return new Promise(resolve => {
            const stopTimer = clock.after(answerAtMost, () => {
                this.noteLate(serial, without === undefined ? request.id : undefined);
                finish(undefined);
            });
            const finish: Waiter = answer => {
                stopTimer();
                this.waiting.delete(serial);
                resolve(answer);
            };
            this.waiting.set(serial, finish);
            peers.askPlacement(address, this.question(serial, request, without));
        });
    }

    private noteLate(serial: number, requestId: string | undefined): void {
        if (requestId === undefined) {
            return;
        }
        this.late.set(serial, requestId);
        for (const oldest of this.late.keys()) {
            if (this.late.size <= lateRemembered) {
                break;
            }
            this.late.delete(oldest);
        }
    }

    private question(serial: number, request: PlacementRequest, without: string | undefined): PlacementQuestion {
        const { clock } = this.parts;
        const { service, broken, refused, lacking, dataCentre, ...need } = request.requirements;
        void dataCentre;
        const now = clock.now();
        const candidates = this.candidates(request);
        const allowed = new Set(candidates.map(({ record }) => record.id));
        const coldOnes = candidates.filter(({ coldUntil }) => now < coldUntil);
        return {
            ...need,
            serial,
            requestId: request.id,
            service: service.name,
            broken: [...broken],
            refused: [...refused],
            lacking: [...lacking],
            cold: coldOnes.map(({ record }) => record.id),
            spent: this.spent(service.name).filter(id => !allowed.has(id)),
            endsIn: request.endsBy - now,
            without,
        };
    }

    /** The placement with its endpoints as this entry knows them; undefined where one may not get work. */
    private resolve(
        request: PlacementRequest,
        { endpoint, helpers, shares, ...rest }: SerializedPlacement,
        without?: string,
    ): Placement | undefined {
        const usable = new Map(this.candidates(request, without).map(known => [known.record.id, known]));
        const first = usable.get(endpoint);
        const others = helpers.map(id => usable.get(id)).filter(known => known !== undefined);
        if (!first || others.length !== helpers.length) {
            return undefined;
        }
        return {
            ...rest,
            endpoint: first,
            helpers: others,
            shares: shares.map(([id, tokens]) => ({ endpoint: usable.get(id)!, tokens })),
            recorded: false,
        };
    }

    /** Takes no placement of this entry's request on an endpoint that it knows better. */
    private refuse({ id }: PlacementRequest, { endpoint, helpers, postponed }: SerializedPlacement): void {
        this.parts.log.info("An endpoint that was chosen for this entry may not get work.", {
            requestId: id,
            endpoint,
            helpers,
        });
        if (!postponed) {
            this.parts.loads.recordEnded([endpoint, ...helpers], id);
        }
    }
}
