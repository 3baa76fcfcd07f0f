/** Stand-in of the platform's store: linearizable objects with lists and watches. It loses nothing and has no faults. */
import http from "node:http";

const pathPattern = /^\/dandelionramp\/objects\/([A-Za-z]+)(?:\/([^/]+))?$/;
const pageSize = 500;

const readText = async request => {
    const pieces = [];
    for await (const piece of request) {
        pieces.push(piece);
    }
    return Buffer.concat(pieces).toString("utf8");
};

/** The store. */
export class Store {
    revision = 1;
    #objects = new Map();
    #events = [];
    #waiting = new Set();

    async start() {
        this.server = http.createServer((request, response) => void this.#serve(request, response));
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Writes an object as the operator or a replica; the return is the acknowledgement. */
    put(kind, name, spec) {
        const kindObjects = this.#kind(kind);
        const previous = kindObjects.get(name);
        if (previous && JSON.stringify(previous.spec) === JSON.stringify(spec)) {
            return previous;
        }
        this.revision++;
        const metadata = {
            name,
            revision: this.revision,
            created: previous?.metadata.created ?? this.revision,
            finalizers: [],
            deleting: false,
        };
        const object = { metadata, spec, status: {} };
        kindObjects.set(name, object);
        this.#publish(kind, { object, deleted: false });
        return object;
    }

    remove(kind, name) {
        const previous = this.#kind(kind).get(name);
        if (!previous) {
            return false;
        }
        this.#kind(kind).delete(name);
        this.revision++;
        const object = { ...previous, metadata: { ...previous.metadata, revision: this.revision } };
        this.#publish(kind, { object, deleted: true });
        return true;
    }

    #kind(kind) {
        if (!this.#objects.has(kind)) {
            this.#objects.set(kind, new Map());
        }
        return this.#objects.get(kind);
    }

    #publish(kind, event) {
        this.#events.push({ kind, revision: this.revision, event });
        for (const waiter of [...this.#waiting]) {
            if (waiter.kind === kind) {
                waiter.answer();
            }
        }
    }

    async #serve(request, response) {
        const send = (status, value) => {
            const text = JSON.stringify(value);
            response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
            response.end(text);
        };
        const text = await readText(request);
        const url = new URL(request.url, "http://store");
        const [, kind, encodedName] = pathPattern.exec(url.pathname) ?? [];
        if (kind === undefined) {
            send(404, {});
            return;
        }
        const name = encodedName && decodeURIComponent(encodedName);
        const body = text === "" ? {} : JSON.parse(text);
        switch (request.method) {
            case "GET":
                this.#read(kind, name, url.searchParams, send, response);
                return;
            case "POST":
                if (this.#kind(kind).has(body.metadata.name)) {
                    send(409, this.#kind(kind).get(body.metadata.name));
                    return;
                }
                send(200, this.put(kind, body.metadata.name, body.spec));
                return;
            case "PUT":
            case "DELETE": {
                const current = this.#kind(kind).get(name);
                const expected = body.metadata?.revision ?? url.searchParams.get("revision") ?? undefined;
                if (!current) {
                    send(404, {});
                    return;
                }
                if (expected !== undefined && Number(expected) !== current.metadata.revision) {
                    send(409, current);
                    return;
                }
                if (request.method === "DELETE") {
                    this.remove(kind, name);
                    send(200, current);
                    return;
                }
                send(200, this.put(kind, name, body.spec));
                return;
            }
            default:
                send(405, {});
        }
    }

    #read(kind, name, query, send, response) {
        if (name !== undefined) {
            const object = this.#kind(kind).get(name);
            send(object ? 200 : 404, object ?? {});
            return;
        }
        if (!query.has("watch")) {
            const after = query.get("after") ?? "";
            const names = [...this.#kind(kind).keys()].filter(other => other > after).sort();
            const items = names.slice(0, pageSize).map(other => this.#kind(kind).get(other));
            send(200, { items, more: names.length > pageSize, current_rev: this.revision });
            return;
        }
        const since = Number(query.get("watch"));
        const waiter = { kind };
        const finish = () => {
            clearTimeout(timer);
            this.#waiting.delete(waiter);
        };
        waiter.answer = () => {
            finish();
            const events = this.#events.filter(event => event.kind === kind && event.revision > since);
            send(200, { events: events.map(({ event }) => event), current_rev: this.revision });
        };
        const timer = setTimeout(waiter.answer, Number(query.get("wait_ms") ?? 0));
        if (this.#events.some(event => event.kind === kind && event.revision > since)) {
            waiter.answer();
            return;
        }
        this.#waiting.add(waiter);
        response.once("close", finish);
    }
}
