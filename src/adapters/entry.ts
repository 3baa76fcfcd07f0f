/** An entry with its real adapters: the three ports, the platform, endpoints and peers over HTTP. */
import * as z from "zod";
import {
    Clock,
    createLogger,
    EngineClient,
    EntryNode,
    Listener,
    LogLevel,
    PartLog,
    partLog,
    PeerClient,
    PlatformClient,
    Random,
    serveCallers,
    serveOperators,
    servePeers,
    ServiceClient,
    setting,
    silentLog,
    Timeline,
} from "../internal.js";

/** Time that open connections get at the end of a planned stop, when no request runs any more. */
const finishMilliseconds = 2_000;
const defaultBodyBytes = 16 * 1024 * 1024;

/** Schema of an entry's settings file. */
export const entrySettingsSchema = z.strictObject({
    instance: z.strictObject({ id: setting.text(), dataCentre: setting.text() }),
    listen: z.strictObject({ callers: setting.address(), peers: setting.address(), operators: setting.address() }),
    platform: z.strictObject({ address: setting.address() }),
    peers: z.strictObject({ seeds: setting.list().default([]) }).default({ seeds: [] }),
    limits: z.strictObject({ bodyBytes: setting.wholeNumber(1_024).default(defaultBodyBytes) })
        .default({ bodyBytes: defaultBodyBytes }),
    log: z.strictObject({ level: setting.oneOf(LogLevel).default(LogLevel.Info) }).default({ level: LogLevel.Info }),
});

/** Settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** A running entry. */
export interface Entry {
    node: EntryNode;
    timeline: Timeline;
    callers: Listener;
    peers: Listener;
    operators: Listener;
    /** Planned stop: resolves when no request is left and every port is closed. */
    drain(): Promise<void>;
    /** Stops at once and cuts what runs. */
    kill(): Promise<void>;
}

/** Starts an entry. Rejects when a port can't be had. */
export const startEntry = async (
    settings: EntrySettings,
    clock: Clock,
    random: Random,
    quiet = false,
): Promise<Entry> => {
    const logger = createLogger(settings.instance.id, settings.log.level);
    const log = (part: string): PartLog => quiet ? silentLog : partLog(logger, part);
    const timeline = new Timeline(settings.instance.id, clock);
    // The peers' port comes first: its address is announced, and port 0 may have been asked for.
    const holder: { node?: EntryNode; } = {};
    const peers = await servePeers(() => holder.node!, settings.listen.peers);
    const node = new EntryNode(
        {
            id: settings.instance.id,
            dataCentre: settings.instance.dataCentre,
            peersAddress: peers.address,
            seeds: settings.peers.seeds,
        },
        {
            clock,
            random,
            platform: new PlatformClient(settings.platform.address, clock),
            engines: new EngineClient(clock),
            services: new ServiceClient(clock),
            peers: new PeerClient(clock),
            log,
            timeline,
        },
    );
    holder.node = node;
    node.start();
    const operators = await serveOperators(node, settings.listen.operators);
    const callers = await serveCallers(node, {
        address: settings.listen.callers,
        bodyLimitBytes: settings.limits.bodyBytes,
    });
    log("entry").info("The entry has started.", { callers: callers.address, operators: operators.address });
    const close = async () => {
        await Promise.all([callers.close(), peers.close(), operators.close()]);
    };
    return {
        node,
        timeline,
        callers,
        peers,
        operators,
        drain: async () => {
            await node.drain();
            await callers.finish(clock, finishMilliseconds);
            await close();
            log("entry").info("The entry has drained.");
        },
        kill: async () => {
            node.stop();
            await close();
        },
    };
};
