/** HTTP server of the stand-in engine, with the faults that its control port can set. */
import { IncomingMessage, ServerResponse } from "node:http";
import {
    aborted,
    Clock,
    DandelionrampError,
    EngineFrame,
    EngineHolding,
    EngineLostError,
    EngineRefusal,
    EngineRefusedError,
    EngineRequest,
    Random,
    readBody,
    requestTarget,
    sendJson,
    Timeline,
} from "../internal.js";
import { EngineModel, EngineOrder, EngineShape } from "./engineModel.js";
import { FaultOrder, FaultTarget } from "./faultPort.js";
import { RevivableListener } from "./revivableListener.js";

const bodyLimitBytes = 64 * 1024 * 1024;
const streamPath = /^\/streams\/([^/]+)$/;
const holdingPath = /^\/holdings\/([^/]+)$/;
const exportPath = /^\/exports\/([^/]+)$/;

/** A running stand-in engine. */
export interface EngineStandIn extends FaultTarget {
    model: EngineModel;
    listener: RevivableListener;
    close(): Promise<void>;
}

/** Handles the HTTP requests of one engine. */
class EngineServer {
    readonly timeline: Timeline;
    /** Responses that stay open but carry no more data, as on a connection whose packets are lost. */
    private readonly silencedResponses = new WeakSet<ServerResponse>();
    private readonly streamingResponses = new Set<ServerResponse>();
    private freezeEnd: Promise<void> = Promise.resolve();

    constructor(readonly model: EngineModel, private readonly clock: Clock, name: string) {
        this.timeline = new Timeline(name, clock);
        this.timeline.record("engine", "started");
    }

    async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = (await readBody(request, bodyLimitBytes)).toString("utf8");
        await this.freezeEnd;
        try {
            await this.route(request, response, body);
        }
        catch (error) {
            this.sendError(response, error);
        }
    }

    apply({ fault, value = 1 }: FaultOrder): void {
        switch (fault) {
            case "die":
                this.model.die();
                return;
            case "revive":
                this.model.revive();
                return;
            case "crash":
                void this.model.crash();
                return;
            case "cold":
                this.model.fallIntoColdStart();
                return;
            case "freeze":
                this.freezeEnd = this.clock.sleep(value);
                return;
            case "silent":
                for (const response of this.streamingResponses) {
                    this.silencedResponses.add(response);
                }
                return;
            case "leave":
                this.model.startLeaving();
                return;
            case "fences":
                this.model.shape.enforceFences = value !== 0;
                return;
            default:
                throw new DandelionrampError(
                    `unknown fault "${fault}"; expected die, revive, crash, cold, freeze, silent, leave or fences`,
                );
        }
    }

    private async route(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
        const { method, path, query } = requestTarget(request);
        if (path === "/report") {
            sendJson(response, 200, this.model.report());
            return;
        }
        if (path === "/streams" && method === "POST") {
            const engineRequest = JSON.parse(body) as EngineRequest;
            const frames = this.model.open(engineRequest);
            this.timeline.record("engine", "stream", engineRequest.streamId.split(".")[0], engineRequest.streamId);
            await this.sendFrames(response, frames);
            return;
        }
        const stream = streamPath.exec(path);
        if (stream) {
            const streamId = decodeURIComponent(stream[1]!);
            await this.sendFrames(response, this.model.resume(streamId, Number(query.get("offset") ?? 0)));
            return;
        }
        if (path === "/reservations") {
            this.model.reserve(JSON.parse(body) as EngineHolding);
            sendJson(response, 200, {});
            return;
        }
        const holding = holdingPath.exec(path);
        if (holding) {
            this.model.release(decodeURIComponent(holding[1]!));
            sendJson(response, 200, {});
            return;
        }
        if (path === "/holdings") {
            sendJson(response, 200, { holdings: this.model.holdings() });
            return;
        }
        this.routeCacheAndOrders(path, query, response, body);
    }

    private routeCacheAndOrders(path: string, query: URLSearchParams, response: ServerResponse, body: string): void {
        const exported = exportPath.exec(path);
        if (exported) {
            sendJson(response, 200, this.model.exportCache(decodeURIComponent(exported[1]!)));
            return;
        }
        if (path === "/imports") {
            this.model.importCache((JSON.parse(body) as { seed: number; }).seed);
            sendJson(response, 200, {});
            return;
        }
        if (path === "/cache-events") {
            sendJson(response, 200, { events: this.model.cacheEventsFrom(Number(query.get("from") ?? 0)) });
            return;
        }
        if (path === "/orders") {
            const accepted = this.model.applyOrder(JSON.parse(body) as EngineOrder);
            sendJson(response, accepted ? 200 : 409, { wanted: this.model.wanted });
            return;
        }
        sendJson(response, 404, { error: "unknown path" });
    }

    private async sendFrames(response: ServerResponse, frames: AsyncGenerator<EngineFrame, void>): Promise<void> {
        response.writeHead(200, { "content-type": "application/x-ndjson" });
        response.flushHeaders();
        const connection = new AbortController();
        response.on("close", () => connection.abort());
        const disconnected = aborted(connection.signal);
        this.streamingResponses.add(response);
        try {
            while (!connection.signal.aborted) {
                const next = await Promise.race([frames.next(), disconnected]);
                await this.freezeEnd;
                if (!next || next.done) {
                    break;
                }
                if (this.silencedResponses.has(response)) {
                    await disconnected;
                    break;
                }
                if (!response.write(`${JSON.stringify(next.value)}\n`)) {
                    await Promise.race([new Promise(resolve => response.once("drain", resolve)), disconnected]);
                }
            }
            response.end();
        }
        catch {
            response.destroy();
        }
        finally {
            this.streamingResponses.delete(response);
            void frames.return();
        }
    }

    private sendError(response: ServerResponse, error: unknown): void {
        if (error instanceof EngineRefusedError) {
            sendJson(response, error.refusal === EngineRefusal.UnknownStream ? 404 : 503, { refusal: error.refusal });
            return;
        }
        if (error instanceof EngineLostError) {
            response.destroy();
            return;
        }
        sendJson(response, 400, { refusal: EngineRefusal.Invalid });
    }
}

/** Closes the listener when the model dies and reopens the listener when the model is up again. */
const followModelLifetime = async (model: EngineModel, listener: RevivableListener, clock: Clock): Promise<void> => {
    while (true) {
        await aborted(model.lifetime);
        await listener.takeDown();
        while (!model.isUp) {
            await clock.sleep(20);
        }
        await listener.bringUp();
    }
};

/** Starts an engine that serves at `address`. */
export const startEngine = async (
    name: string,
    address: string,
    shape: EngineShape,
    clock: Clock,
    random: Random,
): Promise<EngineStandIn> => {
    const model = new EngineModel({ ...shape }, clock, random);
    const server = new EngineServer(model, clock, name);
    const listener = await RevivableListener.open(address, (request, response) => server.handle(request, response));
    void followModelLifetime(model, listener, clock);
    return {
        model,
        listener,
        timeline: server.timeline,
        apply: order => server.apply(order),
        counts: () => ({
            up: model.isUp,
            cold: model.isUp && model.isCold,
            running: model.runningStreamCount,
            memoryUsedTokens: model.memoryUsedTokens,
            coldOverloads: model.coldOverloads,
            crashes: model.crashCount,
            streams: [...model.runs.values()].reduce((sum, runs) => sum + runs, 0),
        }),
        runs: () => Object.fromEntries(model.runs),
        close: () => listener.close(),
    };
};
