/** Stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes, as PROTOCOL.md tells. */
import http from "node:http";
import { readBody, sendJson } from "./http.mjs";

const objectsPath = "/dandelionramp/objects/";
const firstRevision = 1_000;
const objectsPerPage = 500;
const maximumWait = 30_000;

/** The store. All listeners serve the same objects; each has its own address, so that faults can hit one entry alone. */
export class Store {
    revision = firstRevision;
    #kinds = new Map();
    #events = [];
    #watchers = new Set();
    #servers = [];

    /** Opens a listener. Its `mode` is `ok`, or `silent`, `busy`, `many` or `reset` for calls that come from then on. */
    async open(host, port) {
        const way = { address: "", mode: "ok", delay: 0, calls: [], sockets: new Set() };
        const server = http.createServer((request, response) => {
            void this.#serve(way, request, response).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 60_000;
        server.on("connection", socket => {
            way.sockets.add(socket);
            socket.on("error", () => {});
            socket.once("close", () => way.sockets.delete(socket));
        });
        await new Promise((resolve, reject) => server.once("error", reject).listen(port ?? 0, host, resolve));
        way.address = `${host}:${server.address().port}`;
        this.#servers.push(server);
        return way;
    }

    close() {
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    /** Writes an object without conditions, as the operator or a replica does. Returns its revision. */
    put(kind, name, spec) {
        const objects = this.#objects(kind);
        const previous = objects.get(name);
        if (previous && JSON.stringify(previous.spec) === JSON.stringify(spec)) {
            return previous.metadata.revision;
        }
        const revision = ++this.revision;
        const created = previous?.metadata.created ?? revision;
        const object = { metadata: { name, revision, created, finalizers: [], deleting: false }, spec, status: {} };
        objects.set(name, object);
        this.#publish(kind, { object, deleted: false, revision });
        return revision;
    }

    remove(kind, name) {
        const object = this.#objects(kind).get(name);
        if (!object) {
            return undefined;
        }
        this.#objects(kind).delete(name);
        const revision = ++this.revision;
        const gone = { ...object, metadata: { ...object.metadata, revision } };
        this.#publish(kind, { object: gone, deleted: true, revision });
        return gone;
    }

    get(kind, name) {
        return this.#objects(kind).get(name);
    }

    names(kind) {
        return [...this.#objects(kind).keys()];
    }

    #objects(kind) {
        if (!this.#kinds.has(kind)) {
            this.#kinds.set(kind, new Map());
        }
        return this.#kinds.get(kind);
    }

    #publish(kind, event) {
        this.#events.push({ kind, ...event });
        for (const wake of [...this.#watchers]) {
            wake();
        }
    }

    async #serve(way, request, response) {
        const body = await readBody(request);
        const url = new URL(request.url, "http://store");
        way.calls.push({ at: Date.now(), method: request.method, path: url.pathname + url.search });
        if (way.delay > 0) {
            await new Promise(resolve => setTimeout(resolve, way.delay));
        }
        if (this.#refuse(way, request, response)) {
            return;
        }
        const [kind, encoded] = url.pathname.slice(objectsPath.length).split("/");
        if (!url.pathname.startsWith(objectsPath) || !kind) {
            sendJson(response, 404, {});
            return;
        }
        const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
        if (request.method === "GET") {
            await this.#read(way, response, kind, name, url.searchParams);
            return;
        }
        this.#write(way, response, request.method, kind, name, body, url.searchParams);
    }

    #refuse(way, request, response) {
        switch (way.mode) {
            case "silent":
                return true;
            case "busy":
                sendJson(response, 503, {});
                return true;
            case "many":
                sendJson(response, 429, {});
                return true;
            case "reset":
                request.socket.resetAndDestroy();
                return true;
            default:
                return false;
        }
    }

    async #read(way, response, kind, name, query) {
        if (name !== undefined) {
            const object = this.#objects(kind).get(name);
            sendJson(response, object ? 200 : 404, object ?? {});
            return;
        }
        if (query.has("watch")) {
            await this.#watch(way, response, kind, Number(query.get("watch")), Number(query.get("wait_ms") ?? 0));
            return;
        }
        const after = query.get("after") ?? "";
        const objects = [...this.#objects(kind).values()].filter(({ metadata }) => metadata.name > after)
            .sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1);
        sendJson(response, 200, {
            items: objects.slice(0, objectsPerPage),
            more: objects.length > objectsPerPage,
            current_rev: this.revision,
        });
    }

    async #watch(way, response, kind, since, wait) {
        const find = () => this.#events.filter(event => event.kind === kind && event.revision > since);
        if (find().length === 0 && wait > 0) {
            await new Promise(resolve => {
                const finish = () => {
                    if (find().length > 0 || response.destroyed) {
                        end();
                    }
                };
                const end = () => {
                    clearTimeout(timer);
                    this.#watchers.delete(finish);
                    resolve();
                };
                const timer = setTimeout(end, Math.min(wait, maximumWait));
                this.#watchers.add(finish);
                response.once("close", end);
            });
        }
        if (way.mode !== "ok") {
            // The answer of a call that was open when the disruption began doesn't arrive.
            if (way.mode !== "silent") {
                response.destroy();
            }
            return;
        }
        sendJson(response, 200, {
            events: find().map(({ object, deleted }) => ({ object, deleted })),
            current_rev: this.revision,
        });
    }

    #write(way, response, method, kind, name, body, query) {
        if (method === "DELETE") {
            const current = this.#objects(kind).get(name);
            const expected = query.get("revision");
            if (current && expected !== null && Number(expected) !== current.metadata.revision) { // eslint-disable-line no-restricted-syntax
                sendJson(response, 409, current);
                return;
            }
            const gone = this.remove(kind, name);
            sendJson(response, gone ? 200 : 404, gone ?? {});
            return;
        }
        const { metadata, spec } = JSON.parse(body.toString("utf8"));
        const current = this.#objects(kind).get(name ?? metadata.name);
        if (method === "POST") {
            if (current) {
                sendJson(response, 409, current);
                return;
            }
            this.put(kind, metadata.name, spec);
            sendJson(response, 201, this.get(kind, metadata.name));
            return;
        }
        if (!current) {
            sendJson(response, 404, {});
            return;
        }
        if (metadata?.revision !== undefined && metadata.revision !== current.metadata.revision) {
            sendJson(response, 409, current);
            return;
        }
        this.put(kind, name, spec);
        sendJson(response, 200, this.get(kind, name));
    }
}
