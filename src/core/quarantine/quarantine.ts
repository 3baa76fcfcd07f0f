/**
 * Keeps requests that crash endpoints from them.
 *
 * Load pattern: the caller of such a request sends it again, with a new identifier and through any entry. Each time it takes
 * down an endpoint with all that runs there. Entries share the crashes that they see and the requests that were present. A
 * request that is the likely cause of several is quarantined: no entry sends it. A request that completes is cleared of its
 * crashes so far, so that a harmless one that is merely present at crashes stays in service.
 */
import type { CrashNews, CrashReport } from "../../ports/peerChannelPort.js";
import type { StoredQuarantine } from "../../ports/quarantineStore.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { Completions } from "./completions.js";
import type { DetectedCrash } from "./crashDetector.js";
import { collectParts, type Crash, CrashLog, mapServedFor, partsOfReport } from "./crashLog.js";
import { crashesUntilQuarantine, findCulprits, withoutCommonCause } from "./culprits.js";
import { PartQuarantine } from "./partQuarantine.js";
import { keyOfParts, partsOfKey } from "./partSet.js";
import type { SuspectParts } from "./partTrials.js";
import {
    describeCrashes,
    endOfRejection,
    fromReport,
    fromStored,
    nextTrialAt,
    type QuarantinedRequest,
    quarantineLifetime,
    toStored,
} from "./quarantinedRequest.js";
import { QuarantinedRequests } from "./quarantinedRequests.js";
import type { RequestFingerprint } from "./requestFingerprint.js";

/** Time after a crash in which most other entries have heard of it. */
const propagationDuration: Milliseconds = 50;
/** How long after a crash all entries tell all others directly what they know of it. */
const urgentDuration: Milliseconds = 10_000;
/**
 * Time after a crash in which the other entries report which of their requests were present. A decision that didn't wait for
 * them would blame this entry's requests for the crashes that another entry's request explains.
 */
const reportingDuration: Milliseconds = 200;

/** The requests that crash endpoints, as this entry knows them. */
export class Quarantine {
    /** Called when this entry has learned something by itself, or from the store, that the others need. */
    onChange: () => void = () => {};
    /** Called when this entry has detected a crash. */
    onCrashDetected: () => void = () => {};
    private readonly crashLog: CrashLog;
    private readonly completions: Completions;
    private readonly quarantined: QuarantinedRequests;
    private readonly parts: PartQuarantine;
    private isDecisionDue = false;

    constructor(private readonly clock: Clock, private readonly log: PartLog) {
        this.crashLog = new CrashLog(clock);
        this.completions = new Completions(clock);
        this.quarantined = new QuarantinedRequests(clock);
        this.parts = new PartQuarantine(clock, this.crashLog, this.quarantined);
    }

    /** Number of quarantined requests. */
    get count(): number {
        return this.quarantined.all().length;
    }

    /** Number of crashes that are known. */
    get crashCount(): number {
        return this.crashLog.all().length;
    }

    /**
     * Returns the quarantine of a request that has come, by its content or by the shared parts of its prompt; undefined where
     * there is none.
     */
    find(fingerprint: RequestFingerprint, sharedParts: readonly string[] = []): QuarantinedRequest | undefined {
        if (this.suspectCrashes(fingerprint).length >= crashesUntilQuarantine) {
            this.quarantineCulprits();
        }
        const found = this.quarantined.find(fingerprint) ?? this.parts.find(sharedParts);
        if (found) {
            found.lastSeenAt = this.clock.now();
        }
        return found;
    }

    /**
     * Returns those of a prompt's shared parts that an endpoint may crash by, without being quarantined together; undefined
     * where there are none.
     */
    suspectParts(sharedParts: readonly string[]): SuspectParts | undefined {
        const parts = this.parts.suspects(sharedParts);
        return parts.length === 0 ? undefined : {
            parts,
            timeSinceCrash: this.clock.now() - this.parts.lastCrashAt(parts),
            isDecidedByOneTrial: this.parts.areDecidedByOneTrial(parts),
        };
    }

    /** Whether the process of `endpoint` is known to have crashed. */
    hasCrashed({ id, incarnation }: EndpointRecord): boolean {
        return this.crashLog.get({ endpoint: id, incarnation }) !== undefined;
    }

    /** Records that an endpoint began at `at` to write on a prompt with these parts, and survived. */
    recordSurvived(sharedParts: readonly string[], at: Milliseconds): void {
        if (this.parts.recordSurvived(sharedParts, at)) {
            this.onChange();
        }
    }

    /** Seconds until a quarantined request may be sent again. */
    retryDelaySeconds(quarantined: QuarantinedRequest): number {
        const delay = endOfRejection(quarantined) - this.clock.now();
        return Math.max(1, Math.ceil(delay / 1_000));
    }

    /** Whether the request may be sent once more, by one entry, to find out whether it still crashes endpoints. */
    isTrialDue(quarantined: QuarantinedRequest): boolean {
        return this.clock.now() >= nextTrialAt(quarantined);
    }

    /** Records that this entry sends the request for a trial. */
    recordTrial(quarantined: QuarantinedRequest): void {
        quarantined.trialCount++;
        quarantined.waitsSince = this.clock.now();
        this.log.info("A quarantined request is tried.", {
            content: quarantined.request,
            trialCount: quarantined.trialCount,
        });
        this.onChange();
    }

    /** Whether the request was present at a crash and has not completed since. */
    isSuspect(fingerprint: RequestFingerprint): boolean {
        return this.suspectCrashes(fingerprint).length > 0;
    }

    /** Records a crash that this entry detected. */
    recordCrash({ requests, ...crash }: DetectedCrash): void {
        const servedFor = mapServedFor(requests);
        const parts = collectParts(requests);
        if (this.crashLog.add({ ...crash, servedFor, parts, heardFrom: undefined })) {
            this.decideLater();
            this.onChange();
            this.onCrashDetected();
        }
    }

    /** The newest crashes that this entry knows, in the form of a heartbeat. */
    recentCrashes(): CrashReport[] {
        return this.crashLog.recentReports();
    }

    /** Merges the crashes that the entry `from` has stored. */
    mergeStored(from: string, crashes: readonly CrashReport[]): void {
        if (this.learnCrashes(`${from}, by the store`, crashes)) {
            this.onChange();
        }
    }

    /**
     * Time until enough is known of the crashes of a request to send it again. Callers and entries that send it again at once
     * would outrun the reports of other entries; after enough crashes the decision is waited for.
     */
    timeUntilKnown(fingerprint: RequestFingerprint): Milliseconds {
        const crashes = this.suspectCrashes(fingerprint);
        const lastCrashAt = Math.max(-Infinity, ...crashes.map(({ at }) => at));
        const duration = crashes.length < crashesUntilQuarantine ? propagationDuration : reportingDuration;
        return Math.max(0, lastCrashAt + duration - this.clock.now());
    }

    /** Records that a request completed, which clears it of the crashes so far. */
    recordCompletion(fingerprint: RequestFingerprint): void {
        if (this.isSuspect(fingerprint) || this.quarantined.find(fingerprint)) {
            this.clear(fingerprint.value, this.clock.now());
            this.onChange();
        }
    }

    /** Ends the quarantine of a request that an operator has removed from the store. */
    lift(request: string): void {
        if (this.quarantined.get(request)) {
            this.clear(request, this.clock.now());
            this.parts.recordSurvived(partsOfKey(request) ?? [], this.clock.now());
            this.onChange();
        }
    }

    /** Adds a quarantine that the store holds, or a trial of it whose entry ended before it told the others. */
    adopt(stored: StoredQuarantine): void {
        const now = this.clock.now();
        const known = this.quarantined.get(stored.request);
        if (!known && this.completions.at(stored.request) === undefined) {
            this.addHeard(fromStored(stored, now));
            this.onChange();
        }
        if (known && stored.trialCount > known.trialCount) {
            known.trialCount = stored.trialCount;
            known.waitsSince = now;
            this.onChange();
        }
    }

    /** Returns the quarantined requests in the form of the store. */
    toStored(): StoredQuarantine[] {
        return this.quarantined.all().map(toStored);
    }

    /**
     * Whether all other entries should hear of this one's observations directly. Later the placers' heartbeats are enough: they
     * repeat the crashes, and who survived what matters only while endpoints crash.
     */
    get hasUrgentNews(): boolean {
        const oldest = this.clock.now() - urgentDuration;
        return this.crashLog.all().some(({ at }) => at > oldest) || this.quarantined.all().length > 0
            || this.completions.reports().some(({ age }) => age < urgentDuration);
    }

    /** Returns what other entries need to know; undefined where there is nothing. */
    snapshot(): CrashNews | undefined {
        const crashes = this.crashLog.recentReports();
        const completions = this.completions.reports();
        const quarantined = this.quarantined.nextReports();
        const survivedParts = this.parts.reports();
        const isEmpty = crashes.length + completions.length + quarantined.length + survivedParts.length === 0;
        return isEmpty ? undefined : { crashes, completions, quarantined, survivedParts };
    }

    /** Merges what the entry `from` knows. */
    merge(from: string, { crashes, completions, quarantined, survivedParts = [] }: CrashNews): void {
        const now = this.clock.now();
        this.parts.merge(survivedParts);
        for (const { request, age } of completions) {
            if (this.completions.learn(request, now - age)) {
                this.endQuarantine(request, now - age);
            }
        }
        this.learnCrashes(from, crashes);
        for (const report of quarantined) {
            this.mergeQuarantine(fromReport(report, from, now));
        }
    }

    /** Adds the crashes that another entry reported; returns whether anything was new. */
    private learnCrashes(from: string, reports: readonly CrashReport[]): boolean {
        const now = this.clock.now();
        let hasNewCrash = false;
        for (const report of reports) {
            const { endpoint, incarnation, age, requests, silentIn } = report;
            const servedFor = mapServedFor(requests);
            const parts = partsOfReport(report);
            const crash = { endpoint, incarnation, at: now - age, servedFor, parts, silentIn, heardFrom: from };
            hasNewCrash = this.crashLog.add(crash) || hasNewCrash;
        }
        if (hasNewCrash) {
            this.decideLater();
        }
        return hasNewCrash;
    }

    private mergeQuarantine(heard: QuarantinedRequest): void {
        const known = this.quarantined.get(heard.request);
        if (known) {
            known.lastSeenAt = Math.max(known.lastSeenAt, heard.lastSeenAt);
            if (heard.trialCount > known.trialCount) {
                known.trialCount = heard.trialCount;
                known.waitsSince = heard.waitsSince;
            }
            return;
        }
        const isCleared = (this.completions.at(heard.request) ?? -Infinity) >= heard.since;
        if (!isCleared && this.clock.now() - heard.lastSeenAt < quarantineLifetime) {
            this.addHeard(heard);
        }
    }

    /** Adds a quarantine that another entry or the store told, as far as what this entry knows doesn't contradict it. */
    private addHeard(heard: QuarantinedRequest): void {
        if (partsOfKey(heard.request) === undefined) {
            if (!this.isExplainedByParts(heard)) {
                this.add(heard);
            }
            return;
        }
        const reduced = this.parts.reduce(heard);
        if (reduced && !this.quarantined.get(reduced.request)) {
            this.add(reduced);
            this.removeExplainedByParts();
        }
    }

    /** Whether quarantined parts were present at all crashes that speak against the request. */
    private isExplainedByParts({ crashes }: QuarantinedRequest): boolean {
        const known = crashes.map(crash => this.crashLog.get(crash));
        return known.length > 0 && known.every(crash => crash !== undefined && this.parts.explains(crash));
    }

    /** Ends the quarantines of requests that were merely present when others crashed endpoints by their parts. */
    private removeExplainedByParts(): void {
        for (const quarantined of this.quarantined.all()) {
            if (partsOfKey(quarantined.request) === undefined && this.isExplainedByParts(quarantined)) {
                this.quarantined.remove(quarantined.request);
                this.log.info("A request is no longer quarantined: parts of other prompts explain its crashes.", {
                    content: quarantined.request,
                });
            }
        }
    }

    /** Decides once the newest crashes are reported; many crashes at about the same time take one decision. */
    private decideLater(): void {
        if (this.isDecisionDue) {
            return;
        }
        this.isDecisionDue = true;
        this.clock.after(reportingDuration, () => {
            this.isDecisionDue = false;
            this.quarantineCulprits();
            if (this.crashLog.all().some(crash => !this.isReported(crash) || !this.parts.isSettled(crash))) {
                this.decideLater();
            }
        });
    }

    private isReported({ at }: Crash): boolean {
        return this.clock.now() - at >= reportingDuration;
    }

    private quarantineCulprits(): void {
        const now = this.clock.now();
        for (const { parts, crashes } of this.parts.findCauses()) {
            const request = keyOfParts(parts);
            this.add({ request, since: now, lastSeenAt: now, crashes, trialCount: 0, waitsSince: now });
            this.removeExplainedByParts();
        }
        const known = new Set(this.quarantined.all().map(({ request }) => request));
        const isCleared = (request: string, crash: Crash) => this.isCleared(request, crash);
        const reportedCrashes = withoutCommonCause(this.crashLog.all())
            .filter(crash => this.isReported(crash) && !this.parts.explains(crash));
        for (const request of findCulprits(reportedCrashes, known, isCleared)) {
            const crashes = this.crashLog.crashesOf(request).filter(crash => !isCleared(request, crash));
            this.add({ request, since: now, lastSeenAt: now, crashes, trialCount: 0, waitsSince: now });
        }
    }

    private add(quarantined: QuarantinedRequest): void {
        this.quarantined.add(quarantined);
        this.log.warn("A request is quarantined, because it crashes endpoints.", {
            content: quarantined.request,
            crashes: describeCrashes(quarantined, this.clock.now()),
        });
    }

    /** Clears a request of the crashes up to `at`, by what this entry observed. */
    private clear(request: string, at: Milliseconds): void {
        if (this.completions.observe(request, at)) {
            this.endQuarantine(request, at);
        }
    }

    private endQuarantine(request: string, at: Milliseconds): void {
        const quarantined = this.quarantined.get(request);
        if (quarantined && quarantined.since <= at) {
            this.quarantined.remove(request);
            this.log.info("A request is no longer quarantined: it has completed, or an operator lifted it.", {
                content: request,
            });
        }
    }

    private suspectCrashes(fingerprint: RequestFingerprint): Crash[] {
        if (!this.crashLog.mayConcern(fingerprint)) {
            return [];
        }
        return this.crashLog.crashesOf(fingerprint.value).filter(crash => !this.isCleared(fingerprint.value, crash));
    }

    private isCleared(request: string, { at }: Crash): boolean {
        return at <= (this.completions.at(request) ?? -Infinity);
    }
}
