/** Callers that use their connections, and open new ones, until a stopping entry is gone. */
import http from "node:http";
import { afterEach, beforeEach, expect, test } from "vitest";
import { splitAddress } from "../../src/utils/address.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import { type Random, seededRandom } from "../../src/utils/random.js";
import { callerKey, Site } from "./support/site.js";

const clientCount = 48;
const longestBooking: Milliseconds = 2_500;
/** How long the clients book before the stop. */
const warmUp: Milliseconds = 3_000;

let site: Site;

beforeEach(async () => {
    site = new Site();
    const replica = await site.replica("i-1", "bookings");
    site.record("i-1", { slots: 2 * clientCount });
    replica.fault = ({ id, headers }, response) => {
        const answer = () => response.writeHead(200, replica.responseHeaders(id)).end(id);
        setTimeout(answer, Number(headers["x-duration"]));
        return true;
    };
    site.configure(1, { places: { timeout_ms: 10_000 } });
});

afterEach(() => site.close());

/** Books on kept connections until the entry is gone. */
class Client {
    /** Identifiers of the requests whose connection ended without a whole answer. */
    readonly unanswered: string[] = [];
    readonly statuses: number[] = [];
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

    constructor(private readonly callers: string, private readonly random: Random, private readonly name: string) {}

    /** Resolves when the entry refuses a connection. */
    async run(): Promise<void> {
        for (let index = 0;; index++) {
            const id = `${this.name}-${index}`;
            const outcome = await this.book(id);
            if (outcome === "ECONNREFUSED") {
                break;
            }
            if (typeof outcome === "string") {
                this.unanswered.push(id);
                continue;
            }
            this.statuses.push(outcome);
            if (outcome === 503) {
                await systemClock.sleep(100);
            }
        }
        this.agent.destroy();
    }

    private book(id: string): Promise<number | string> {
        return new Promise(resolve => {
            const fail = (error: NodeJS.ErrnoException) => resolve(error.code ?? "unknown");
            const request = http.request({
                ...splitAddress(this.callers),
                method: "POST",
                path: "/places/a",
                agent: this.agent,
                headers: {
                    host: "desk.example",
                    "dandelionramp-request-id": id,
                    authorization: `Bearer ${callerKey}`,
                    "x-duration": String(Math.round(this.random.next() * longestBooking)),
                },
            }, response => {
                response.on("error", fail);
                response.resume().on("end", () => resolve(response.statusCode!));
            });
            request.on("error", fail).end();
        });
    }
}

test.each([4, 6])("no booking is cut at the end of a grace period of %i s", async graceSeconds => {
    // Guards against requests that arrive late in a stop, run, and are cut at its end.
    const { callers, entry } = await site.start("entry-1", true, { graceSeconds });
    const clients = Array.from(
        { length: clientCount },
        (...[, index]) => new Client(callers, seededRandom(index + 1), `client-${index}`),
    );
    const runs = clients.map(client => client.run());
    await systemClock.sleep(warmUp);
    await entry.stop();
    await Promise.all(runs);
    const unanswered = new Set(clients.flatMap(client => client.unanswered));
    const ran = site.replicas.get("i-1")!.arrivals.map(({ id }) => id).filter(id => unanswered.has(id));
    expect(clients.flatMap(({ statuses }) => statuses)).toContain(503);
    expect(ran).toEqual([]);
});
