/** Settings of an entry that forwards by routes, in INI. */
import { z } from "zod";
import { PlacementPolicy } from "../../types/routing.js";
import { LogLevel } from "../../utils/log.js";
import { setting } from "../../utils/settings.js";

const decimal = () =>
    z.string("expected a number of at least 0")
        .regex(/^\d{1,9}(\.\d{1,9})?$/, "expected a number of at least 0")
        .transform(Number);

/** Schema of the settings file. */
export const forwardingSettingsSchema = z.strictObject({
    instance: z.strictObject({ id: setting.text(), dataCentre: setting.text() }),
    listen: z.strictObject({
        callers: setting.address(),
        /** Where the platform asks whether this entry is ready. */
        readiness: setting.address(),
        /** Datagrams of the other entries. */
        peers: setting.address(),
        metrics: setting.address(),
    }),
    store: z.strictObject({ address: setting.address() }),
    repeats: z.strictObject({
        /** Of the requests in the window. */
        share: decimal(),
        windowSeconds: decimal(),
        /** Beside the share, in a window. */
        extra: decimal(),
    }),
    cold: z.strictObject({
        /** Of the rate that a service publishes. */
        factor: decimal(),
        /** Beside it, in a second. */
        extra: decimal(),
    }),
    placement: z.strictObject({
        policy: setting.oneOf(PlacementPolicy).default(PlacementPolicy.Predicted),
        /** Whether entries tell one another what they place. */
        shared: setting.flag().default(true),
    }).default({ policy: PlacementPolicy.Predicted, shared: true }),
    stop: z.strictObject({ graceSeconds: decimal() }),
    log: z.strictObject({ level: setting.oneOf(LogLevel).default(LogLevel.Info) }).default({ level: LogLevel.Info }),
});

/** Checked settings. */
export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;
