/** Keeps the configuration current: a watch, and a full list on a timer. */
import {
    Clock,
    Configuration,
    configurationKinds,
    describeError,
    fullJitter,
    PartLog,
    PlatformHealth,
    PlatformPort,
    Random,
    Timeline,
} from "../internal.js";

/**
 * Time between full lists. A watch can go silent for good while new calls work; an operator would notice a change
 * that one entry never follows. The list bounds that to this time plus one call.
 */
export const relistMilliseconds = 8_000;
const retryBaseMilliseconds = 100;
const retryCeilingMilliseconds = 2_000;

/** What the reader works with. */
export interface ConfigurationReaderParts {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    health: PlatformHealth;
    configuration: Configuration;
    log: PartLog;
    timeline: Timeline;
}

const pause = (parts: ConfigurationReaderParts, failures: number, signal: AbortSignal): Promise<void> => {
    const wait = retryBaseMilliseconds
        + fullJitter(parts.random, retryBaseMilliseconds, failures, retryCeilingMilliseconds);
    return parts.clock.sleep(wait, signal);
};

/** Lists everything once. Throws PlatformError. */
export const listConfiguration = async (parts: ConfigurationReaderParts): Promise<void> => {
    const page = await parts.health.watch(parts.platform.list(configurationKinds));
    const outcome = parts.configuration.mergeList(page);
    if (outcome.type === "Reverted") {
        const { platformRevision, heldRevision } = outcome;
        parts.log.error("The platform came back with an older revision. It is not followed.", {
            platformRevision,
            heldRevision,
        });
        parts.timeline.record("configuration", "platform-reverted", undefined, `${platformRevision} < ${heldRevision}`);
    }
};

/** Follows the platform's changes until `signal` aborts. */
export const watchConfiguration = async (parts: ConfigurationReaderParts, signal: AbortSignal): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
        if (!parts.configuration.loaded) {
            await pause(parts, 0, signal);
            continue;
        }
        const before = parts.configuration.revision;
        try {
            const page = await parts.platform.watch(configurationKinds, before, signal);
            failures = 0;
            // A watch that answers from a store with lost writes must not bring them back under old numbers.
            if (page.revision >= before) {
                parts.configuration.merge(page);
            }
            if (page.objects.length > 0) {
                parts.timeline.record("configuration", "changed", undefined, `revision ${page.revision}`);
            }
        }
        catch (error) {
            failures++;
            parts.log.warn("The watch failed.", { reason: describeError(error) });
            await pause(parts, failures, signal);
        }
    }
};

/** Lists everything at start and on a timer until `signal` aborts. */
export const relistConfiguration = async (parts: ConfigurationReaderParts, signal: AbortSignal): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
        try {
            await listConfiguration(parts);
            failures = 0;
            await parts.clock.sleep(relistMilliseconds, signal);
        }
        catch (error) {
            failures++;
            parts.log.warn("The list failed.", { reason: describeError(error) });
            await pause(parts, failures, signal);
        }
    }
};
