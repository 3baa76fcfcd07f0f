/**
 * Starts an entry with its HTTP adapters: servers for callers, peers and operators, and clients for the platform, endpoints
 * and peers.
 */
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

/** Timeout for open connections at the end of a drain, when no requests are in flight. */
const connectionDrainMilliseconds = 2_000;
const defaultMaximumBodyBytes = 16 * 1024 * 1024;

/** Schema of an entry's settings file. */
export const entrySettingsSchema = z.strictObject({
    instance: z.strictObject({ id: setting.text(), dataCentre: setting.text() }),
    listen: z.strictObject({ callers: setting.address(), peers: setting.address(), operators: setting.address() }),
    platform: z.strictObject({ address: setting.address() }),
    peers: z.strictObject({ seeds: setting.list().default([]) }).default({ seeds: [] }),
    limits: z.strictObject({ bodyBytes: setting.wholeNumber(1_024).default(defaultMaximumBodyBytes) })
        .default({ bodyBytes: defaultMaximumBodyBytes }),
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
    /** Shuts down gracefully. Resolves when no requests are in flight and all ports are closed. */
    drain(): Promise<void>;
    /** Stops immediately and aborts the requests in flight. */
    kill(): Promise<void>;
}

/** Starts an entry. Rejects if a port is unavailable. */
export const startEntry = async (
    settings: EntrySettings,
    clock: Clock,
    random: Random,
    isSilent = false,
): Promise<Entry> => {
    const logger = createLogger(settings.instance.id, settings.log.level);
    const log = (part: string): PartLog => isSilent ? silentLog : partLog(logger, part);
    const timeline = new Timeline(settings.instance.id, clock);
    // The peer server starts before the node, because the node announces its address and port 0 may have been requested.
    const nodeReference: { node?: EntryNode; } = {};
    const peers = await servePeers(() => nodeReference.node!, settings.listen.peers, clock);
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
    nodeReference.node = node;
    node.start();
    const operators = await serveOperators(node, settings.listen.operators);
    const callers = await serveCallers(node, {
        address: settings.listen.callers,
        maximumBodyBytes: settings.limits.bodyBytes,
    });
    log("entry").info("The entry has started.", { callers: callers.address, operators: operators.address });
    const closeListeners = async () => {
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
            await callers.drain(clock, connectionDrainMilliseconds);
            await closeListeners();
            log("entry").info("The entry has drained.");
        },
        kill: async () => {
            node.stop();
            await closeListeners();
        },
    };
};
