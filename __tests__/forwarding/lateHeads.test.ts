/** Requests whose heads arrive after the header timeout. */
import { once } from "node:events";
import net from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { splitAddress } from "../../src/utils/address.js";
import { systemClock } from "../../src/utils/clock.js";
import { callerKey, Site } from "./support/site.js";

const settleDuration = 300;

let site: Site;

beforeEach(async () => {
    site = new Site();
    await site.replica("i-1", "bookings");
    site.configure(1);
});

afterEach(() => site.close());

test("request that is refused with 408 never runs, though the rest of it arrives", async () => {
    // Guards against a booking that runs after its refusal: its last bytes were late, or the entry stood still while they came.
    const { callers } = await site.start("entry-1");
    const { host, port } = splitAddress(callers);
    const socket = net.connect({ host, port, allowHalfOpen: true });
    socket.on("error", () => {});
    socket.write("POST /places/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n");
    const [refusal] = await once(socket, "data") as [Buffer];
    expect(refusal.toString("latin1")).toMatch(/^HTTP\/1\.1 408 /);
    socket.write(`Dandelionramp-Request-Id: late\r\nAuthorization: Bearer ${callerKey}\r\n\r\n`);
    await systemClock.sleep(settleDuration);
    socket.destroy();
    expect(site.runs("late")).toBe(0);
});
