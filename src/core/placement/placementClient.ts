/**
 * Finds endpoints for this entry's requests: asks a placer, or chooses locally when no placer answers.
 *
 * A placer chooses for all entries near it and knows their placements, so those entries need no load updates from one
 * another. Without an answer, this entry chooses by its own incomplete estimates, which costs waiting time only: with
 * or without a placer, this entry itself checks whether an endpoint may receive requests.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { ColdBudget } from "../budgets/coldBudget.js";
import type { EndpointDirectory, KnownEndpoint } from "../membership/endpointDirectory.js";
import type { PlacerCandidate } from "../membership/placers.js";
import type { Metrics } from "../metrics.js";
import { WaitClient, type WaitPeers } from "../waiting/waitClient.js";
import type { WaitScheduler } from "../waiting/waitScheduler.js";
import type { Eligibility } from "./eligibility.js";
import {
    type EndpointSelector,
    exceedsOneEngine,
    type Placement,
    type PlacementRequirements,
} from "./endpointSelector.js";
import { prefillWait } from "./loadEstimator.js";
import type { PlacementAnswer, PlacementQuestion, SerializedPlacement } from "./placementQuestion.js";
import { endpointsOfPlacement, workOfPlacement } from "./placementWork.js";
import type { SharedLoadEstimator } from "./sharedLoadEstimator.js";

/**
 * A placer answers within a few milliseconds, except on an instance whose processor quota is exhausted; that delay is
 * longer than this timeout.
 */
const answerTimeout: Milliseconds = 40;
/**
 * Placers asked per request. While some placers are unresponsive only one is asked, as this entry itself may be cut off.
 */
const maximumPlacersAsked = 2;
/** Timed-out questions that are remembered so that a late answer can be undone. */
const maximumLateQuestions = 64;

/** Access to the placers among the peers. */
export interface PlacerPeers extends WaitPeers {
    /** Placers to ask now, in this order; empty where this entry chooses itself. */
    placersToAsk(): readonly PlacerCandidate[];
}

/** Dependencies of {@link PlacementClient}. */
export interface PlacementClientDependencies {
    clock: Clock;
    log: PartLog;
    metrics: Metrics;
    /** Id of this entry. */
    entry: string;
    directory: EndpointDirectory;
    eligibility: Eligibility;
    selector: EndpointSelector;
    loads: SharedLoadEstimator;
    peers: PlacerPeers;
    /** Receives the grants of requests to cold endpoints; undefined where this entry takes none. */
    grantedColdBudget?: () => Pick<ColdBudget, "receiveGrant" | "dropGrant"> | undefined;
    waitScheduler: WaitScheduler;
}

/** A request that needs an endpoint. */
export interface PlacementRequest {
    id: string;
    requirements: PlacementRequirements;
    /** When the request arrived, and by when it has ended at the latest. */
    arrivedAt: Milliseconds;
    endsBy: Milliseconds;
    /** Set where the request may wait in the queue of its service. */
    wait?: WaitTerms;
}

/** How a request waits in a queue. */
export interface WaitTerms {
    /** Aborts when the request has ended. */
    signal: AbortSignal;
    /** Called when the wait begins. */
    onWaiting: () => void;
}

/** Where a request could move from an unresponsive endpoint, and how long that endpoint still needs for its prefills. */
export interface AlternativePlacement {
    placement: Placement | undefined;
    busyFor: Milliseconds;
}

/** An answer with the placer that gave it. */
interface PlacerAnswer {
    placer: string;
    answer: PlacementAnswer;
    askedAt: Milliseconds;
}

type ChosenAnswer = Extract<PlacementAnswer, { type: "Chosen"; }>;
type AnswerCallback = (answer: PlacementAnswer | undefined) => void;

/** Chooses endpoints for this entry's requests. */
export class PlacementClient {
    private lastSerial = 0;
    /** Answers that found no endpoint. */
    private placersWithoutEndpoint = 0;
    private readonly pendingAnswers = new Map<number, AnswerCallback>();
    /** Ids of the requests whose question timed out, by the question's serial number. */
    private readonly requestIdByLateQuestion = new Map<number, string>();
    private readonly waitClient: WaitClient;

    constructor(private readonly dependencies: PlacementClientDependencies) {
        const { clock, loads, selector, waitScheduler } = dependencies;
        this.waitClient = new WaitClient({
            ...dependencies,
            scheduler: waitScheduler,
            select: request => selector.select(request.requirements, this.candidates(request)),
            record: (request, placement) => this.recordPlacement(request, placement, false),
            countCandidates: request => this.candidates(request).length,
            nextSerial: () => ++this.lastSerial,
            buildQuestion: (serial, request) => this.buildQuestion(serial, request, undefined),
            // A request that waits gets no grants, so the time of the question doesn't matter.
            accept: (request, placement, placer) => this.accept(request, { placement }, placer, clock.now()),
            chooseLocally: request => this.chooseLocally(request),
            handleNoEndpoint: request => this.handleNoEndpoint(request),
            release: (endpoints, requestId) => loads.recordEnded(endpoints, requestId),
        });
    }

    /** Returns the best placement now, or after a wait; undefined when there is none. */
    async choose(request: PlacementRequest): Promise<Placement | undefined> {
        const { peers, grantedColdBudget } = this.dependencies;
        if (request.wait) {
            return await this.waitClient.choose(request, request.wait);
        }
        if (peers.placersToAsk().length === 0) {
            return this.chooseLocally(request);
        }
        grantedColdBudget?.()?.dropGrant(request.id);
        const reply = await this.askPlacers(request, undefined);
        if (reply?.answer.type === "NoEndpoint") {
            return this.handleNoEndpoint(request);
        }
        if (reply?.answer.type === "Chosen") {
            return this.accept(request, reply.answer, reply.placer, reply.askedAt);
        }
        this.dependencies.metrics.count("placements_without_placer_total");
        return this.chooseLocally(request);
    }

    /** Returns the best placement at one of `endpoints`, with no helpers but these; undefined when there is none. */
    chooseAmong(request: PlacementRequest, endpoints: ReadonlySet<string>): Placement | undefined {
        const candidates = this.candidates(request).filter(({ record }) => endpoints.has(record.id));
        const placement = this.dependencies.selector.select(request.requirements, candidates);
        return placement && this.recordPlacement(request, placement, false);
    }

    /** Uses a placer's choice, or chooses locally where it contradicts this entry's newer information. */
    private accept(
        request: PlacementRequest,
        { placement: serialized, coldGrant }: Pick<ChosenAnswer, "placement" | "coldGrant">,
        placer: string,
        askedAt: Milliseconds,
    ): Placement | undefined {
        const placement = this.resolvePlacement(request, serialized, { isGranted: coldGrant !== undefined });
        if (placement) {
            if (coldGrant !== undefined) {
                this.dependencies.grantedColdBudget?.()?.receiveGrant(
                    request.id,
                    serialized.endpoint,
                    askedAt + coldGrant,
                );
            }
            return this.recordPlacement(request, { ...placement, chosenBy: placer }, true);
        }
        this.rejectPlacement(request, serialized);
        this.dependencies.metrics.count("placements_without_placer_total");
        return this.chooseLocally(request);
    }

    private handleNoEndpoint(request: PlacementRequest): Placement | undefined {
        if (exceedsOneEngine(request.requirements)) {
            // Only the placer knows all work in progress, and so where memory is free.
            return undefined;
        }
        this.dependencies.metrics.count("placements_without_placer_total");
        return this.chooseLocally(request);
    }

    /** Returns where a request could go instead of `endpoint`; records no placement. */
    async findAlternative(request: PlacementRequest, endpoint: string): Promise<AlternativePlacement> {
        const answer = (await this.askPlacers(request, endpoint))?.answer;
        if (answer?.type === "Chosen") {
            return {
                placement: this.resolvePlacement(request, answer.placement, { excludedEndpoint: endpoint }),
                busyFor: answer.busyFor,
            };
        }
        const busyFor = prefillWait(this.dependencies.loads.loadOf(endpoint));
        const placement = this.dependencies.selector.select(request.requirements, this.candidates(request, endpoint));
        return { placement, busyFor };
    }

    /** Receives a placer's answer. A late answer's placement is undone, as the request went elsewhere. */
    receiveAnswer(answer: PlacementAnswer): void {
        if (this.waitClient.receiveAnswer(answer)) {
            return;
        }
        const resolveAnswer = this.pendingAnswers.get(answer.serial);
        if (resolveAnswer) {
            resolveAnswer(answer);
            return;
        }
        const requestId = this.requestIdByLateQuestion.get(answer.serial);
        if (requestId !== undefined && answer.type === "Chosen") {
            const { endpoint, helpers } = answer.placement;
            this.dependencies.loads.recordEnded([endpoint, ...helpers], requestId);
        }
    }

    /** Removes a placement that won't be used from the load estimates. */
    release(placement: Placement, id: string): void {
        if (placement.recorded) {
            this.dependencies.loads.recordEnded(endpointsOfPlacement(placement), id);
        }
    }

    /** Returns the endpoints that may receive a request from this entry now. */
    candidates({ requirements: { service } }: PlacementRequest, excludedEndpoint?: string): KnownEndpoint[] {
        return this.dependencies.eligibility.candidates(service, excludedEndpoint);
    }

    /** Time until an endpoint that accepts nothing from this entry now accepts the next request; undefined without one. */
    timeUntilCapacity({ requirements: { service } }: PlacementRequest): Milliseconds | undefined {
        return this.dependencies.eligibility.timeUntilCapacity(service);
    }

    private chooseLocally(request: PlacementRequest): Placement | undefined {
        const placement = this.dependencies.selector.select(request.requirements, this.candidates(request));
        return placement && this.recordPlacement(request, placement, false);
    }

    /** Adds the placement to the load estimates before the send, as another request may be placed in between. */
    private recordPlacement(request: PlacementRequest, placement: Placement, isKnownToPeers: boolean): Placement {
        if (placement.postponed) {
            return placement;
        }
        const { id, endsBy, requirements: { promptTokens, targetGap, rank, customer } } = request;
        const { loads, entry } = this.dependencies;
        loads.recordPlaced(
            workOfPlacement(placement, { id, owner: entry, promptTokens, targetGap, rank, customer, endsBy }),
            isKnownToPeers,
        );
        return { ...placement, recorded: true };
    }

    /** Asks one placer after another; undefined when none answers. */
    private async askPlacers(
        request: PlacementRequest,
        excludedEndpoint: string | undefined,
    ): Promise<PlacerAnswer | undefined> {
        const { clock, peers, log } = this.dependencies;
        const limit = peers.hasUnresponsivePlacers() ? 1 : maximumPlacersAsked;
        for (const { id, address } of this.placersFor(request).slice(0, limit)) {
            const askedAt = clock.now();
            const answer = await this.askPlacer(address, request, excludedEndpoint);
            if (answer && answer.type !== "Declined") {
                this.placersWithoutEndpoint += Number(answer.type === "NoEndpoint");
                return { placer: id, answer, askedAt };
            }
            peers.recordPlacerTimeout(id);
            log.info("An entry that chooses endpoints gave no answer.", {
                requestId: request.id,
                placer: id,
                declined: answer !== undefined,
            });
        }
        return undefined;
    }

    /**
     * Returns the placers in the order in which they are asked. While cold endpoints take requests only by grant, a placer
     * that found no endpoint is asked last: an entry that gets most connections would use the grants of one placer only.
     */
    private placersFor({ requirements: { service } }: PlacementRequest): readonly PlacerCandidate[] {
        const { peers, eligibility, grantedColdBudget } = this.dependencies;
        const placers = peers.placersToAsk();
        if (!grantedColdBudget?.() || eligibility.restrictions(service).forbiddenCold.size === 0) {
            return placers;
        }
        const first = this.placersWithoutEndpoint % placers.length;
        return [...placers.slice(first), ...placers.slice(0, first)];
    }

    private askPlacer(
        address: string,
        request: PlacementRequest,
        excludedEndpoint: string | undefined,
    ): Promise<PlacementAnswer | undefined> {
        const { clock, peers } = this.dependencies;
        const serial = ++this.lastSerial;
        return new Promise(resolve => {
            const stopTimer = clock.after(answerTimeout, () => {
                this.rememberLateQuestion(serial, excludedEndpoint === undefined ? request.id : undefined);
                finish(undefined);
            });
            const finish: AnswerCallback = answer => {
                stopTimer();
                this.pendingAnswers.delete(serial);
                resolve(answer);
            };
            this.pendingAnswers.set(serial, finish);
            peers.requestPlacement(address, this.buildQuestion(serial, request, excludedEndpoint));
        });
    }

    private rememberLateQuestion(serial: number, requestId: string | undefined): void {
        if (requestId === undefined) {
            return;
        }
        this.requestIdByLateQuestion.set(serial, requestId);
        for (const oldestSerial of this.requestIdByLateQuestion.keys()) {
            if (this.requestIdByLateQuestion.size <= maximumLateQuestions) {
                break;
            }
            this.requestIdByLateQuestion.delete(oldestSerial);
        }
    }

    private buildQuestion(
        serial: number,
        request: PlacementRequest,
        excludedEndpoint: string | undefined,
    ): PlacementQuestion {
        const { clock, eligibility, grantedColdBudget } = this.dependencies;
        const {
            service,
            failedEndpoints,
            rejectedEndpoints,
            endpointsWithoutMemory,
            dataCentre,
            ...unchangedRequirements
        } = request.requirements;
        void dataCentre;
        const now = clock.now();
        const { exhausted, allowedCold } = eligibility.restrictions(service);
        return {
            ...unchangedRequirements,
            serial,
            requestId: request.id,
            service: service.name,
            broken: [...failedEndpoints],
            refused: [...rejectedEndpoints],
            lacking: [...endpointsWithoutMemory],
            cold: [...allowedCold],
            spent: [...exhausted],
            age: now - request.arrivedAt,
            endsIn: request.endsBy - now,
            without: excludedEndpoint,
            takesColdGrants: excludedEndpoint === undefined && grantedColdBudget?.() ? true : undefined,
        };
    }

    /** Resolves endpoint ids to endpoints that this entry knows; undefined where one of them may not receive requests. */
    private resolvePlacement(
        request: PlacementRequest,
        { endpoint, helpers, shares, ...predictions }: SerializedPlacement,
        { excludedEndpoint, isGranted = false }: { excludedEndpoint?: string; isGranted?: boolean; },
    ): Placement | undefined {
        const { eligibility } = this.dependencies;
        const { service } = request.requirements;
        const restrictions = eligibility.restrictions(service);
        const find = (id: string) => id === excludedEndpoint ? undefined : eligibility.find(service, restrictions, id);
        const mainEndpoint = isGranted
            ? eligibility.find(service, { ...restrictions, forbiddenCold: new Set() }, endpoint)
            : find(endpoint);
        const helperEndpoints = helpers.map(id => find(id)).filter(helper => helper !== undefined);
        if (!mainEndpoint || helperEndpoints.length !== helpers.length) {
            return undefined;
        }
        return {
            ...predictions,
            endpoint: mainEndpoint,
            helpers: helperEndpoints,
            shares: shares.map(([id, tokens]) => ({ endpoint: find(id)!, tokens })),
            recorded: false,
        };
    }

    /**
     * Rejects a placer's choice that contradicts this entry's newer information, and undoes the placement in the load
     * estimates.
     */
    private rejectPlacement({ id }: PlacementRequest, { endpoint, helpers, postponed }: SerializedPlacement): void {
        this.dependencies.log.info("An endpoint that was chosen for this entry may not get work.", {
            requestId: id,
            endpoint,
            helpers,
        });
        if (!postponed) {
            this.dependencies.loads.recordEnded([endpoint, ...helpers], id);
        }
    }
}
