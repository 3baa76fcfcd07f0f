/** What the stand-ins share: bodies, JSON answers, free ports and waiting. */
import net from "node:net";

export const readBody = async request => {
    const pieces = [];
    for await (const piece of request) {
        pieces.push(piece);
    }
    return Buffer.concat(pieces);
};

export const sendJson = (response, status, value) => {
    if (response.destroyed) {
        return;
    }
    const text = JSON.stringify(value);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
};

export const freePort = host =>
    new Promise((resolve, reject) => {
        const server = net.createServer().once("error", reject).listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

export const sleep = duration => new Promise(resolve => setTimeout(resolve, duration));

/** Resolves with the first truthy result of `check`; throws after `timeout`. */
export const until = async (what, check, timeout = 10_000) => {
    const end = Date.now() + timeout;
    for (;;) {
        const result = await check();
        if (result) {
            return result;
        }
        if (Date.now() > end) {
            throw new Error(`not in time: ${what}`);
        }
        await sleep(20);
    }
};

/** A loopback network of this process alone, so that ports stay free between two processes of an entry. */
export const ownHost = index => `127.${2 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}.${index}`;
