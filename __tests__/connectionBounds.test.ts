/** Which connection is closed for a new one, and how many each port may have. Guards against clients that take all descriptors. */
import { expect, test } from "vitest";
import { ConnectionTable, ConnectionUse } from "../src/core/connectionBounds/connectionTable.js";
import { divideDescriptors } from "../src/core/connectionBounds/descriptorBudget.js";

const closed: string[] = [];

const connection = (name: string, use: ConnectionUse) => ({ use, close: () => closed.push(name) });

test("connection that is used the least, for the longest time, is closed for a new one", () => {
    closed.length = 0;
    const table = new ConnectionTable(5);
    const idle = connection("idle", ConnectionUse.Idle);
    const connections = [
        idle,
        connection("busy", ConnectionUse.Busy),
        connection("later idle", ConnectionUse.Idle),
        connection("unused", ConnectionUse.Unused),
        connection("ending", ConnectionUse.Ending),
    ];
    expect(connections.map(each => table.add(each))).not.toContain(false);
    table.recordUse(idle);
    const added = Array.from({ length: 5 }, () => table.add(connection("new", ConnectionUse.Busy)));
    expect(closed).toEqual(["ending", "unused", "later idle", "idle"]);
    expect(added).toEqual([true, true, true, true, false]);
});

test("descriptors are left for endpoints and the store, a connection for each of a caller", () => {
    for (const maximum of [400, 1_024, 4_200, 65_536]) {
        const { callers, peers, carried, readiness, metrics } = divideDescriptors(maximum);
        const taken = 2 * callers + peers + 2 * carried + readiness + metrics;
        expect([maximum, taken < maximum]).toEqual([maximum, true]);
    }
});
