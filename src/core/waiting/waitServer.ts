/**
 * Keeps the waiting requests of other entries on a placer, and sends each one its placement when there is capacity.
 *
 * The state is soft. An entry asks again with the same serial number when it has no answer; a placer that knows the question
 * renews the waiter or sends the same placement again, and any other placer takes the question as a new one.
 */
import type { ServiceDefinition } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { Placement } from "../placement/endpointSelector.js";
import { prefillDuration } from "../placement/engineCost.js";
import type { PlacementAnswer, PlacementQuestion } from "../placement/placementQuestion.js";
import { requestValue } from "../placement/requestValue.js";
import { RecentGrants } from "./recentGrants.js";
import type { QueuedWaiter } from "./waiter.js";
import { canMemoryBecomeFree, isInTimeAfterWait, longestUntriedTime } from "./waitPolicy.js";
import { WaitEnd, type WaitScheduler } from "./waitScheduler.js";

/**
 * Time after which an entry asks again. A waiter is kept for two of these times, so that one lost question doesn't end it. The
 * time bounds the delay of a waiter whose placer has failed or whose answer was lost.
 */
const renewalInterval: Milliseconds = 400;
const waiterRetention: Milliseconds = 2 * renewalInterval;

/** Dependencies of {@link WaitServer}. */
export interface WaitServerDependencies {
    clock: Clock;
    scheduler: WaitScheduler;
    /** Chooses endpoints; undefined where none may receive the request or has the memory. */
    select: (question: PlacementQuestion, service: ServiceDefinition) => Placement | undefined;
    /** Number of endpoints that may receive the request. */
    countCandidates: (question: PlacementQuestion) => number;
    /** Records the placement unless it is postponed, and returns the answer. */
    grant: (owner: string, question: PlacementQuestion, placement: Placement) => PlacementAnswer;
    /** Ends a placement that its entry doesn't use. */
    release: (endpoints: readonly string[], requestId: string) => void;
    /** Sends an answer to an entry. */
    push: (owner: string, answer: PlacementAnswer) => void;
}

/** Keeps waiters for other entries. */
export class WaitServer {
    private readonly grants: RecentGrants;

    constructor(private readonly dependencies: WaitServerDependencies) {
        this.grants = new RecentGrants(dependencies.clock, waiterRetention);
    }

    /** Answers a question whose request may wait. */
    answer(owner: string, question: PlacementQuestion, service: ServiceDefinition): PlacementAnswer {
        const { scheduler } = this.dependencies;
        const { requestId, serial } = question;
        const earlierGrant = this.grants.find(owner, requestId, serial);
        if (earlierGrant) {
            return earlierGrant;
        }
        const waiting: PlacementAnswer = { type: "Waiting", serial, renewIn: renewalInterval };
        const known = scheduler.find(owner, requestId);
        if (known && known instanceof RemoteWaiter && known.serial === serial) {
            known.renew(question);
            return waiting;
        }
        const waiter = new RemoteWaiter(this.dependencies, { owner, question, service }, given => {
            this.recordGrant(owner, requestId, given);
            this.dependencies.push(owner, given);
        });
        if (!scheduler.hasEarlier(waiter)) {
            const answer = waiter.decide(question);
            if (answer) {
                this.recordGrant(owner, requestId, answer);
                return answer;
            }
        }
        return scheduler.add(waiter) ? waiting : { type: "NoEndpoint", serial };
    }

    /** Drops the waiter of a request that has ended or was placed otherwise, and releases a grant that crossed the message. */
    withdraw(owner: string, requestId: string): void {
        this.dependencies.scheduler.withdraw(owner, requestId);
        for (const { placement: { endpoint, helpers, postponed } } of this.grants.take(owner, requestId)) {
            if (!postponed) {
                this.dependencies.release([endpoint, ...helpers], requestId);
            }
        }
    }

    private recordGrant(owner: string, requestId: string, answer: PlacementAnswer): void {
        if (answer.type === "Chosen") {
            this.grants.record(owner, requestId, answer);
        }
    }
}

/** A question of another entry, and the service as configured when it arrived. */
interface RemoteQuestion {
    owner: string;
    question: PlacementQuestion;
    service: ServiceDefinition;
}

class RemoteWaiter implements QueuedWaiter {
    readonly owner: string;
    readonly requestId: string;
    readonly service: string;
    readonly rank: number;
    readonly customer: string | undefined;
    readonly targetAt: Milliseconds;
    readonly arrivedAt: Milliseconds;
    readonly deadline: Milliseconds;
    readonly value: number;
    readonly engineTime: Milliseconds;
    readonly serial: number;
    expiresAt: Milliseconds;
    private question: PlacementQuestion;
    private askedAt: Milliseconds;
    private readonly definition: ServiceDefinition;

    constructor(
        private readonly dependencies: WaitServerDependencies,
        { owner, question, service }: RemoteQuestion,
        private readonly onAnswer: (answer: PlacementAnswer) => void,
    ) {
        const { requestId, rank = 0, customer, age = 0, endsIn, promptTokens, serial } = question;
        const now = dependencies.clock.now();
        this.owner = owner;
        this.requestId = requestId;
        this.service = question.service;
        this.definition = service;
        this.rank = rank;
        this.customer = customer;
        this.targetAt = now + question.targetLeft;
        this.arrivedAt = now - Math.max(0, age);
        this.deadline = now + endsIn;
        this.value = requestValue(promptTokens);
        this.engineTime = service.engine ? prefillDuration(service.engine, promptTokens) : 0;
        this.serial = serial;
        this.question = question;
        this.askedAt = now;
        this.expiresAt = now + waiterRetention;
    }

    /** Applies a repeated question. The rank and the customer stay as they were when the request arrived. */
    renew(question: PlacementQuestion): void {
        this.question = question;
        this.askedAt = this.dependencies.clock.now();
        this.expiresAt = this.askedAt + waiterRetention;
    }

    tryPlace(): boolean {
        const { clock, scheduler } = this.dependencies;
        const elapsed = clock.now() - this.askedAt;
        const { targetLeft, patienceLeft, endsIn } = this.question;
        const answer = this.decide({
            ...this.question,
            targetLeft: targetLeft - elapsed,
            patienceLeft: patienceLeft - elapsed,
            endsIn: endsIn - elapsed,
            // The endpoints that lacked memory when the question was asked may have released it.
            lacking: [],
        });
        if (!answer) {
            return false;
        }
        const isPlaced = answer.type === "Chosen" && !answer.placement.postponed;
        scheduler.end(this, isPlaced ? WaitEnd.Placed : WaitEnd.GivenUp, {
            endpoint: answer.type === "Chosen" ? answer.placement.endpoint : undefined,
        });
        this.onAnswer(answer);
        return true;
    }

    onExpired(): void {}

    /** Returns the answer; undefined while waiting is better. */
    decide(question: PlacementQuestion): PlacementAnswer | undefined {
        const { select, grant, countCandidates } = this.dependencies;
        const { patienceLeft, serial, lacking } = question;
        const placement = select(question, this.definition);
        if (
            placement?.postponed && isInTimeAfterWait(placement, patienceLeft, longestUntriedTime)
        ) {
            return undefined;
        }
        if (placement) {
            return grant(this.owner, question, placement);
        }
        // Without the endpoints that lacked memory there is none; the entry asks again for all of them.
        return lacking.length === 0 && this.canMemoryBecomeFree(question, countCandidates(question))
            ? undefined
            : { type: "NoEndpoint", serial };
    }

    private canMemoryBecomeFree(question: PlacementQuestion, candidateCount: number): boolean {
        const { promptTokens, answerTokens, patienceLeft } = question;
        const requirements = { service: this.definition, promptTokens, answerTokens, patienceLeft };
        return canMemoryBecomeFree(requirements, candidateCount, longestUntriedTime);
    }
}
