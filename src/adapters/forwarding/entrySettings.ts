/** Schema of the INI settings file of a forwarding entry. */
import * as z from "zod";
import { defaultSchedulingSettings, PartSwitch } from "../../core/scheduling/schedulingPolicy.js";
import { PlacementPolicy } from "../../types/routing.js";
import { LogLevel } from "../../utils/log.js";
import { parseNonNegativeNumber } from "../../utils/numbers.js";
import { setting } from "../../utils/settings.js";

/** A number of at least 0; an empty value, where the platform sets no bound, gives `defaultValue`. */
const numberOrDefault = (defaultValue: number) =>
    z.string("expected a number of at least 0")
        .refine(text => text === "" || parseNonNegativeNumber(text) !== undefined, "expected a number of at least 0")
        .transform(text => text === "" ? defaultValue : Number(text));

/**
 * A placeholder of the settings file that the platform did not replace, since it doesn't know its name. An entry that rejected
 * it would not start there at all.
 */
const unknownPlaceholder = /^\{\{.*\}\}$/;

/** Like {@link numberOrDefault}; a placeholder that the platform doesn't know gives `defaultValue`, too. */
const knownNumberOrDefault = (defaultValue: number) =>
    z.string("expected a number of at least 0")
        .transform(text => unknownPlaceholder.test(text) ? "" : text)
        .pipe(numberOrDefault(defaultValue));

/** Defaults where a platform sets no bound: the retry budget of the smallest current site, and no excess for cold endpoints. */
const defaultRetryBudget = { share: 0.2, windowSeconds: 10, extra: 50 };
const defaultColdBudget = { factor: 1, extra: 0 };
const defaultGraceSeconds = 8;
const defaultProcessors = 1;
const unknownMemoryMegabytes = 0;
const defaultMaximumDescriptors = 4_200;

/** Schema of the settings file. */
export const forwardingSettingsSchema = z.strictObject({
    instance: z.strictObject({
        id: setting.text(),
        dataCentre: setting.text(),
        /** Number of processor cores that this instance may use. */
        processors: numberOrDefault(defaultProcessors).default(defaultProcessors),
        /** Memory that this instance may use; 0 where the platform sets no limit, and buffered data is then not bounded. */
        memoryMegabytes: knownNumberOrDefault(unknownMemoryMegabytes).default(unknownMemoryMegabytes),
        /** Descriptors that this process may have open. */
        maximumDescriptors: knownNumberOrDefault(defaultMaximumDescriptors).default(defaultMaximumDescriptors),
    }),
    /** What the platform announces about its callers and endpoints, in its own words, separated by commas. */
    contracts: z.strictObject({ names: setting.list() }).default({ names: [] }),
    listen: z.strictObject({
        callers: setting.address(),
        /** Address of the readiness check. */
        readiness: setting.address(),
        /** Address for datagrams and state queries of other entries. */
        peers: setting.address(),
        metrics: setting.address(),
    }),
    peers: z.strictObject({
        /** Addresses of entries to contact first, separated by commas; empty where the platform names none. */
        seeds: setting.list(),
        /** Whether the whole site is starting for the first time; empty where the platform does not specify it. */
        firstStart: z.union([setting.flag(), z.literal("")]).transform(value => value === true),
    }).default({ seeds: [], firstStart: false }),
    store: z.strictObject({ address: setting.address() }),
    repeats: z.strictObject({
        /** Retries allowed, as a fraction of the requests in the window. */
        share: numberOrDefault(defaultRetryBudget.share),
        windowSeconds: numberOrDefault(defaultRetryBudget.windowSeconds),
        /** Retries allowed per window in addition to the share. */
        extra: numberOrDefault(defaultRetryBudget.extra),
    }),
    cold: z.strictObject({
        /** Factor on the rate that a service publishes for its cold endpoints. */
        factor: numberOrDefault(defaultColdBudget.factor),
        /** Requests per second in addition to that rate. */
        extra: numberOrDefault(defaultColdBudget.extra),
    }),
    placement: z.strictObject({
        policy: setting.oneOf(PlacementPolicy).default(PlacementPolicy.Predicted),
        /** Whether entries share their placements with each other. */
        shared: setting.flag().default(true),
    }).default({ policy: PlacementPolicy.Predicted, shared: true }),
    /** Optional parts of the scheduling; `auto` is on where the configuration or the platform calls for the part. */
    scheduling: z.strictObject({
        ranks: setting.oneOf(PartSwitch).default(PartSwitch.Auto),
        waitQueue: setting.oneOf(PartSwitch).default(PartSwitch.Off),
        coldGrants: setting.oneOf(PartSwitch).default(PartSwitch.Auto),
        heartbeatDigests: setting.oneOf(PartSwitch).default(PartSwitch.Auto),
        slowReaders: setting.oneOf(PartSwitch).default(PartSwitch.Auto),
    }).default(defaultSchedulingSettings),
    stop: z.strictObject({ graceSeconds: numberOrDefault(defaultGraceSeconds) }),
    log: z.strictObject({ level: setting.oneOf(LogLevel).default(LogLevel.Info) }).default({ level: LogLevel.Info }),
});

/** Validated settings. */
export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;
