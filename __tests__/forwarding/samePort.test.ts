/** An entry receives datagrams and state queries of other entries on one port number. */
import dgram from "node:dgram";
import { expect, test } from "vitest";
import { listenOnSamePort } from "../../src/utils/samePort.js";
import { Site } from "./support/site.js";

const createOpener = (numbers: string[]) => {
    const closed: string[] = [];
    const open = () => {
        const address = `127.0.0.1:${numbers.shift()}`;
        return Promise.resolve({
            address,
            close: () => {
                closed.push(address);
                return Promise.resolve();
            },
        });
    };
    return { open, closed };
};

test("port number that is taken for the second listener", async () => {
    // The system picks a free TCP port. Another process uses the same number for UDP, and without another try the entry would
    // exit at its start.
    const { open, closed } = createOpener(["4001", "4002", "4003"]);
    const taken = new Set(["127.0.0.1:4001", "127.0.0.1:4002"]);
    const second = (address: string) => taken.has(address) ? Promise.reject(new Error("in use")) : Promise.resolve();
    expect((await listenOnSamePort("127.0.0.1:0", open, second)).address).toBe("127.0.0.1:4003");
    expect(closed).toEqual([...taken]);
});

test("explicit port is not replaced", async () => {
    const { open, closed } = createOpener(["4001", "4002"]);
    const second = () => Promise.reject(new Error("in use"));
    await expect(listenOnSamePort("127.0.0.1:4001", open, second)).rejects.toThrow("in use");
    expect(closed).toEqual(["127.0.0.1:4001"]);
});

test("entry reports that its port is taken", async () => {
    const other = dgram.createSocket("udp4");
    const port = await new Promise<number>(resolve => {
        other.bind(0, "127.0.0.1", () => resolve(other.address().port));
    });
    const site = new Site();
    await expect(site.start("entry-1", false, { peers: `127.0.0.1:${port}` })).rejects.toThrow(/EADDRINUSE/);
    other.close();
    await site.close();
});
