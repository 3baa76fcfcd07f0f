/** Stand-in for a replica of a plain service, as PROTOCOL.md tells. */
import http from "node:http";
import { readBody, sendJson, sleep } from "./http.mjs";

const lower = name => name.toLowerCase();

/** A sound replica: runs each request that names it, for `work` ms, and answers with its signature. */
export class Replica {
    address = "";
    /** Every request that came, with the time of its arrival and whether it ran. */
    arrivals = [];
    /** Overrides the answer; returns true if it has handled the request. */
    fault = undefined;
    #server;

    constructor(id, service, zone, work = 20) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.work = work;
        this.born = Date.now();
    }

    async start(host, port = 0) {
        this.#server = http.createServer((request, response) => {
            void this.#serve(request, response).catch(() => response.destroy());
        });
        this.#server.keepAliveTimeout = 10_000;
        this.#server.on("connection", socket => socket.on("error", () => {}));
        await new Promise((resolve, reject) => this.#server.once("error", reject).listen(port, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
    }

    /** The `spec` of this replica's entry in the store. */
    record(more = {}) {
        return {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "1",
            slots: 6,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: 0,
            born: this.born,
            ...more,
        };
    }

    /** Ends as a process that exits: open connections are reset, new ones refused. */
    end() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #serve(request, response) {
        const at = Date.now();
        const { headers } = request;
        const body = await readBody(request);
        if (request.url === "/healthz") {
            response.writeHead(200, { "Dandelionramp-Replica-Id": this.id, "Content-Length": 0 }).end();
            return;
        }
        if (request.url === "/dandelionramp/report") {
            sendJson(response, 200, { queued: 0, active: 0, kv_used: 0, kv_total: 0, tickets: [] });
            return;
        }
        const id = headers[lower("Dandelionramp-Request-Id")];
        const expected = headers[lower("Dandelionramp-Expect-Instance")];
        const arrival = { at, id, method: request.method, path: request.url, headers, body, ran: false };
        this.arrivals.push(arrival);
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "Dandelionramp-Request-Id": id, "Dandelionramp-Not-Executed": "1" }).end();
            return;
        }
        if (await this.fault?.(arrival, response, request)) {
            return;
        }
        arrival.ran = true;
        await sleep(this.work);
        const text = JSON.stringify({ replica: this.id, id });
        response.writeHead(200, {
            "Dandelionramp-Request-Id": id,
            "Dandelionramp-Response-Signature": `${this.id}.${id}`,
            "Content-Length": Buffer.byteLength(text),
        });
        response.end(text);
    }
}
