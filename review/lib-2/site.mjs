/** A small deployment: the store, replicas of one plain service, and six entries in three zones, as on the sheet of hartwell-ramp. */
import { Entry } from "./entry.mjs";
import { ownHost, until } from "./http.mjs";
import { Replica } from "./replica.mjs";
import { Store } from "./store.mjs";

export const host = "camps.example";
export const zones = ["midlands-a", "midlands-b", "midlands-c"];
const service = "booking-app";

const route = (name, kind, more = {}) => ({
    name,
    hostname: host,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 3_000,
    target_latency_ms: 300,
    attempts: 2,
    priority: 2,
    service,
    public: true,
    ...more,
});

export const configuration = (version = 1, routes = undefined) => ({
    version,
    routes: routes ?? [route("lookup", "idempotent"), route("booking", "non_idempotent", { attempts: 1 })],
    services: [{ name: service, health_path: "/healthz", max_connections: 96, cold_per_s: 8 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 15_000 },
});

export class Site {
    store = new Store();
    replicas = [];
    entries = [];
    #nextHost = 1;

    static async open({ scratch, onEnd }, { entryNames, replicaCount = 3, work = 20 }) {
        const site = new Site();
        onEnd(() => site.close());
        for (let index = 0; index < replicaCount; index++) {
            await site.addReplica(`i-${index + 1}`, zones[index % zones.length], work);
        }
        site.store.put("config", "main", configuration());
        for (const [index, name] of entryNames.entries()) {
            const entry = new Entry(name, zones[index % zones.length], ownHost(site.#nextHost++), scratch);
            entry.way = await site.store.open(ownHost(site.#nextHost++));
            await entry.prepare(entry.way.address);
            site.entries.push(entry);
        }
        return site;
    }

    /** Starts a replica and registers it. */
    async addReplica(id, zone, work = 20) {
        const replica = new Replica(id, service, zone, work);
        await replica.start(ownHost(this.#nextHost++));
        this.replicas.push(replica);
        this.store.put("servers", id, replica.record());
        return replica;
    }

    async start(seeds) {
        this.seeds = seeds.map(({ control }) => control);
        for (const entry of this.entries) {
            entry.start(this.seeds);
        }
        for (const entry of this.entries) {
            await entry.untilReady();
        }
    }

    replica(id) {
        return this.replicas.find(replica => replica.id === id);
    }

    untilStarted(entries) {
        return until("the entries are ready", async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean));
    }

    async close() {
        await Promise.all(this.entries.map(entry => entry.end()));
        this.replicas.forEach(replica => replica.end());
        this.store.close();
    }
}
