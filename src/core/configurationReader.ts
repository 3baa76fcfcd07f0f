/**
 * Keeps the configuration up to date with the platform, by a watch and by full lists at an interval. The lists bound how
 * long an entry can miss a change when its watch has stalled.
 */
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
 * Interval between full lists. A watch can stall permanently while new calls succeed, and the entry would then never
 * apply an operator's change. With the list, the delay is at most this interval plus the duration of one call.
 */
export const relistIntervalMilliseconds = 8_000;
const retryBaseDelayMilliseconds = 100;
const maximumRetryDelayMilliseconds = 2_000;

export interface ConfigurationReaderDependencies {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    health: PlatformHealth;
    configuration: Configuration;
    log: PartLog;
    timeline: Timeline;
}

const delayRetry = (
    dependencies: ConfigurationReaderDependencies,
    failures: number,
    signal: AbortSignal,
): Promise<void> => {
    const wait = retryBaseDelayMilliseconds
        + fullJitter(dependencies.random, retryBaseDelayMilliseconds, failures, maximumRetryDelayMilliseconds);
    return dependencies.clock.sleep(wait, signal);
};

/** Lists and merges the complete configuration once. Throws PlatformError. */
export const listConfiguration = async (dependencies: ConfigurationReaderDependencies): Promise<void> => {
    const page = await dependencies.health.track(dependencies.platform.list(configurationKinds));
    const outcome = dependencies.configuration.mergeList(page);
    if (outcome.type === "Reverted") {
        const { platformRevision, heldRevision } = outcome;
        dependencies.log.error("The platform's revision is lower than the one held. The list is ignored.", {
            platformRevision,
            heldRevision,
        });
        dependencies.timeline.record(
            "configuration",
            "platform-reverted",
            undefined,
            `${platformRevision} < ${heldRevision}`,
        );
    }
};

/** Applies changes from the platform's watch until `signal` aborts. Waits until a complete configuration is loaded. */
export const watchConfiguration = async (
    dependencies: ConfigurationReaderDependencies,
    signal: AbortSignal,
): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
        if (!dependencies.configuration.loaded) {
            await delayRetry(dependencies, 0, signal);
            continue;
        }
        const heldRevision = dependencies.configuration.revision;
        try {
            const page = await dependencies.platform.watch(configurationKinds, heldRevision, signal);
            failures = 0;
            // A store that lost writes reuses their version numbers for other values, so its pages are ignored.
            if (page.revision >= heldRevision) {
                dependencies.configuration.merge(page);
            }
            if (page.objects.length > 0) {
                dependencies.timeline.record("configuration", "changed", undefined, `revision ${page.revision}`);
            }
        }
        catch (error) {
            failures++;
            dependencies.log.warn("Watching the configuration failed.", { reason: describeError(error) });
            await delayRetry(dependencies, failures, signal);
        }
    }
};

/** Lists the complete configuration at start and then at an interval, until `signal` aborts. */
export const relistConfiguration = async (
    dependencies: ConfigurationReaderDependencies,
    signal: AbortSignal,
): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
        try {
            await listConfiguration(dependencies);
            failures = 0;
            await dependencies.clock.sleep(relistIntervalMilliseconds, signal);
        }
        catch (error) {
            failures++;
            dependencies.log.warn("Listing the configuration failed.", { reason: describeError(error) });
            await delayRetry(dependencies, failures, signal);
        }
    }
};
