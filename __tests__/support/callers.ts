/**
 * The callers of a simulated world, and the test oracle. The oracle judges only by what callers sent and received, what
 * endpoints ran, and which responses operators got; it reads an entry's state only for accepted configuration changes.
 */
import {
    Deadline,
    Execution,
    fingerprint,
    Lane,
    laneOf,
    ObjectKind,
    ProvisionalOut,
    RequestFailure,
    ResponseChunk,
    systemClock,
} from "../../src/internal.js";
import { crashMarker, expectedResponse, hasCrashMarker } from "../../src/standins/expectedResponse.js";
import { FakeEntry, World } from "./world.js";

/** How a caller's request ended. */
export type CallerEnd =
    | { type: "Whole"; text: string; }
    | { type: "Failed"; failure: RequestFailure; text: string; }
    /** The entry died and the caller's connection broke. */
    | { type: "Broken"; };

/** One request as its caller sees it. */
export interface CallerRequest {
    requestId: string;
    entry: FakeEntry;
    key: string | undefined;
    expected: string | undefined;
    sentAt: number;
    deadlineAt: number;
    endedAt: number | undefined;
    end: CallerEnd | undefined;
}

/** The size and timeout of a generation to send. */
export interface GenerationPlan {
    tokens: number;
    answerTokens?: number;
    timeout?: number;
    poison?: boolean;
}

interface TakeOut {
    kind: ProvisionalOut["kind"];
    name: string;
    /** When the operator got the response to the order; Infinity before. */
    outAt: number;
    /** When an operator ordered the target back in; Infinity before. */
    until: number;
}

const charactersPerToken = 4;
/** No new request may start on a target that was taken out this long ago. */
const takeOutEffectTimeoutMilliseconds = 3_000;
/** Tolerance for deadlines, because fake time advances in steps. */
const deadlineSlackMilliseconds = 300;
/** Every ready entry must hold an accepted change this long after it was accepted. */
const changeEffectTimeoutMilliseconds = 19_000;
const maximumPoisonStarts = 8;

/** Sends requests and operators' orders into a world and records their results. */
export class Callers {
    readonly requests: CallerRequest[] = [];
    /** IDs of the requests that carry each prompt that crashes engines. */
    private readonly requestIdsByPoisonPrompt = new Map<string, string[]>();
    private readonly takeOuts: TakeOut[] = [];
    /** Number of pending bring-in orders by target; a concurrent take-out order guarantees nothing. */
    private readonly pendingBringInCounts = new Map<string, number>();
    private readonly acceptedChanges: { kind: ObjectKind; name: string; version: number; at: number; }[] = [];
    private readonly highestVersions = new Map<string, number>();
    private readonly violations: string[] = [];
    private sentCount = 0;

    constructor(private readonly world: World) {}

    /** Starts a generation and records its end. */
    generate(entry: FakeEntry, plan: GenerationPlan): CallerRequest {
        const answerTokens = plan.answerTokens ?? 20;
        const promptStart = `${plan.poison ? crashMarker : ""}[[tokens=${answerTokens}]] number ${this.sentCount}`;
        return this.generatePrompt(entry, promptStart.padEnd(plan.tokens * charactersPerToken, " x"), plan);
    }

    /** Starts a generation of `prompt` and records its end. */
    generatePrompt(entry: FakeEntry, prompt: string, plan: GenerationPlan): CallerRequest {
        const answerTokens = plan.answerTokens ?? 20;
        const timeout = plan.timeout ?? 30_000;
        const { node } = entry;
        const service = node.configuration.service("standin")!;
        const profile = node.configuration.profileOf(service);
        const request = this.createRequest(entry, timeout, undefined, expectedResponse(prompt, answerTokens));
        if (hasCrashMarker(prompt)) {
            this.requestIdsByPoisonPrompt.set(prompt, [
                ...this.requestIdsByPoisonPrompt.get(prompt) ?? [],
                request.requestId,
            ]);
        }
        const promptTokens = Math.ceil(prompt.length / charactersPerToken);
        void this.recordEnd(request, () =>
            node.generations.run({
                service,
                prompt,
                maximumTokens: answerTokens,
                work: {
                    requestId: request.requestId,
                    customer: "hartwell",
                    weight: 1,
                    service: "standin",
                    profile,
                    lane: laneOf(promptTokens, profile),
                    promptTokens,
                    memoryTokens: promptTokens + answerTokens,
                    fingerprint: fingerprint("standin", prompt),
                    idempotent: true,
                    deadline: this.deadline(entry, timeout),
                    signal: new AbortController().signal,
                },
            }));
        return request;
    }

    /** Starts a booking; all bookings with the same idempotency key together must run at most once. */
    book(entry: FakeEntry, key: string | undefined, timeout = 10_000, place = "4"): CallerRequest {
        const { node } = entry;
        const request = this.createRequest(entry, timeout, key, undefined);
        const profile = node.configuration.profileOf(node.configuration.service("bookings"));
        const deadlineOf = () => this.deadline(entry, timeout);
        void this.recordEnd(request, async function*(): AsyncGenerator<ResponseChunk, void> {
            const { response } = await node.serviceCalls.run({
                nonIdempotent: true,
                request: {
                    method: "POST",
                    path: "/places",
                    body: Buffer.from(place),
                    requestId: request.requestId,
                    idempotencyKey: key,
                },
                work: {
                    requestId: request.requestId,
                    customer: "hartwell",
                    weight: 1,
                    service: "bookings",
                    profile,
                    lane: Lane.Short,
                    promptTokens: 10,
                    memoryTokens: 0,
                    fingerprint: fingerprint("bookings", key ?? request.requestId),
                    idempotent: false,
                    deadline: deadlineOf(),
                    signal: new AbortController().signal,
                },
            });
            yield { type: "Text", text: response.body.toString("utf8"), tokens: 1 };
        });
        return request;
    }

    /** An operator orders an entry to take a target out of service or to bring it back in; returns the outcome's type. */
    async restrict(
        entry: FakeEntry,
        direction: "out" | "in",
        kind: ProvisionalOut["kind"],
        name: string,
    ): Promise<string> {
        const key = `${kind}/${name}`;
        if (direction === "in") {
            this.endTakeOuts(kind, name);
            this.pendingBringInCounts.set(key, (this.pendingBringInCounts.get(key) ?? 0) + 1);
            const outcome = await entry.node.operations.bringIn(kind, name).catch(() => ({ type: "Failed" as const }));
            this.pendingBringInCounts.set(key, this.pendingBringInCounts.get(key)! - 1);
            return outcome.type;
        }
        const askedAt = systemClock.now();
        const out: TakeOut = {
            kind,
            name,
            outAt: Infinity,
            until: (this.pendingBringInCounts.get(key) ?? 0) > 0 ? askedAt : Infinity,
        };
        this.takeOuts.push(out);
        const outcome = await entry.node.operations.takeOut(kind, name);
        out.outAt = systemClock.now();
        return outcome.type;
    }

    /** An operator changes a profile through an entry; every entry must eventually hold an accepted change and keep it. */
    async change(entry: FakeEntry, name: string, shortPromptTokens: number): Promise<string> {
        try {
            const outcome = await entry.node.operations.change(ObjectKind.Profile, name, { shortPromptTokens });
            if (outcome.type === "Accepted") {
                const { version } = outcome;
                this.acceptedChanges.push({ kind: ObjectKind.Profile, name, version, at: systemClock.now() });
            }
            return outcome.type;
        }
        catch (error) {
            return (error as Error).name;
        }
    }

    /** Checks the invariants that must hold at every moment; call it often. */
    checkInvariants(): void {
        const now = systemClock.now();
        for (const entry of this.world.entries) {
            for (const { kind, name, version, at } of this.acceptedChanges) {
                const heldVersion = entry.node.configuration.version(kind, name);
                const key = `${entry.node.incarnation}/${name}`;
                this.requireInvariant(
                    heldVersion >= (this.highestVersions.get(key) ?? 0),
                    `${entry.id} reverted ${name}`,
                );
                this.highestVersions.set(key, heldVersion);
                const isSettled = now - Math.max(at, entry.frozenUntil) > changeEffectTimeoutMilliseconds;
                const mustHoldChange = entry.alive && !entry.stopped && !entry.gate.frozen && entry.node.isReady
                    && isSettled;
                this.requireInvariant(
                    !mustHoldChange || heldVersion >= version,
                    `${entry.id} lacks accepted ${name} version ${version}`,
                );
            }
        }
    }

    /** Returns all violations so far. `final` adds the checks that must hold once the world is quiet. */
    collectViolations(final: boolean): string[] {
        const violations = [...this.violations];
        for (const request of this.requests) {
            violations.push(...this.violationsOf(request, final));
        }
        for (const [key, runs] of this.world.runs) {
            if (runs > 1) {
                violations.push(`key ${key} ran ${runs} times`);
            }
        }
        for (const engine of this.world.engines) {
            const { coldOverloads, memoryUsedTokens } = engine.model;
            if (coldOverloads > 0) {
                violations.push(`${engine.record.id} was overloaded while cold, ${coldOverloads} times`);
            }
            if (final && memoryUsedTokens > 0) {
                violations.push(`${engine.record.id} still holds ${memoryUsedTokens} tokens`);
            }
        }
        return [...violations, ...this.startsAfterTakeOut(), ...this.excessPoisonStarts()];
    }

    private deadline(entry: FakeEntry, timeout: number): Deadline {
        return new Deadline(entry.node.ports.clock, entry.ignoresDeadlines ? Number.MAX_SAFE_INTEGER : timeout);
    }

    private createRequest(
        entry: FakeEntry,
        timeout: number,
        key: string | undefined,
        expected: string | undefined,
    ): CallerRequest {
        const sentAt = systemClock.now();
        const request: CallerRequest = {
            requestId: `request${this.sentCount++}`,
            entry,
            key,
            expected,
            sentAt,
            deadlineAt: sentAt + timeout,
            endedAt: undefined,
            end: undefined,
        };
        this.requests.push(request);
        return request;
    }

    private async recordEnd(request: CallerRequest, run: () => AsyncGenerator<ResponseChunk, void>): Promise<void> {
        const { node } = request.entry;
        let text = "";
        // A frozen process reads no request until it is thawed.
        await request.entry.gate.waitUntilThawed();
        node.activeRequests++;
        try {
            for await (const chunk of run()) {
                text += chunk.type === "Text" ? chunk.text : "";
            }
            request.end ??= { type: "Whole", text };
        }
        catch (error) {
            if (!(error instanceof RequestFailure)) {
                this.violations.push(`${request.requestId} failed with ${String(error)}`);
                return;
            }
            request.end ??= { type: "Failed", failure: error, text };
        }
        finally {
            node.activeRequests--;
            request.endedAt = systemClock.now();
        }
    }

    private violationsOf(request: CallerRequest, final: boolean): string[] {
        const { end, requestId } = request;
        if (!end) {
            // If the entry has died or is frozen, the caller has a broken connection, not a late response.
            const isConnectionBroken = (!request.entry.alive || request.entry.gate.frozen) && !request.entry.cutsAtStop;
            const isLate = systemClock.now() > request.deadlineAt + deadlineSlackMilliseconds;
            return (isLate || final) && !isConnectionBroken ? [`${requestId} has not ended`] : [];
        }
        const violations: string[] = [];
        const wasNotFrozen = request.entry.frozenUntil < request.sentAt;
        if (wasNotFrozen && request.endedAt! > request.deadlineAt + deadlineSlackMilliseconds) {
            violations.push(`${requestId} ended ${Math.round(request.endedAt! - request.deadlineAt)} ms late`);
        }
        if (end.type === "Whole" && request.expected !== undefined && end.text !== request.expected) {
            violations.push(
                `${requestId} got another answer: ${end.text.length} of ${request.expected.length} characters`,
            );
        }
        if (end.type === "Failed" && end.failure.execution === Execution.NotRun && this.hasRun(request)) {
            violations.push(`${requestId} was told not-run and ran: ${end.failure.message}`);
        }
        return violations;
    }

    private hasRun(request: CallerRequest): boolean {
        if (request.key !== undefined) {
            // The outcome concerns the idempotency key: a run of any request with this key counts.
            const starts = this.world.services.flatMap(service => service.starts);
            const ids = this.requests.filter(other => other.key === request.key).map(other => other.requestId);
            return starts.some(start => ids.includes(start.requestId) && start.at <= request.endedAt!);
        }
        return (this.world.runs.get(request.requestId) ?? 0) > 0
            || this.world.engines.some(engine => (engine.model.runs.get(request.requestId) ?? 0) > 0);
    }

    private endTakeOuts(kind: ProvisionalOut["kind"], name: string): void {
        for (const out of this.takeOuts) {
            if (out.kind === kind && out.name === name) {
                out.until = Math.min(out.until, systemClock.now());
            }
        }
    }

    private startsAfterTakeOut(): string[] {
        const violations: string[] = [];
        for (const endpoint of [...this.world.engines, ...this.world.services]) {
            for (const out of this.takeOuts) {
                const isTarget =
                    out.name === (out.kind === "dataCentre" ? endpoint.record.dataCentre : endpoint.record.id);
                for (const start of isTarget ? endpoint.starts : []) {
                    if (start.at > out.outAt + takeOutEffectTimeoutMilliseconds && start.at < out.until) {
                        const after = Math.round(start.at - out.outAt);
                        violations.push(
                            `${endpoint.record.id} got ${start.requestId} ${after} ms after ${out.name} went out`,
                        );
                    }
                }
            }
        }
        return violations;
    }

    /** Concurrent copies of a prompt, and crash records that were lost with their entry, explain a few extra starts at most. */
    private excessPoisonStarts(): string[] {
        const violations: string[] = [];
        const starts = this.world.engines.flatMap(engine => engine.starts);
        for (const [prompt, requestIds] of this.requestIdsByPoisonPrompt) {
            const count = starts.filter(start => requestIds.includes(start.requestId)).length;
            if (count > maximumPoisonStarts) {
                violations.push(`"${prompt.slice(0, 24).trim()}" was started ${count} times`);
            }
        }
        return violations;
    }

    private requireInvariant(holds: boolean, violation: string): void {
        if (!holds && !this.violations.includes(violation)) {
            this.violations.push(violation);
        }
    }
}
