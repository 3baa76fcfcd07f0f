/** An entry of an earlier version, which carries connections of other entries. */
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { splitAddress } from "../../../src/utils/address.js";

/** Starts an entry of an earlier version, which copies the bytes of the endpoint without frames. */
export const startEarlierCarrier = async (): Promise<{ address: string; close: () => void; }> => {
    const server = http.createServer();
    server.on("connect", (request, socket) => {
        const { host, port } = splitAddress(request.url ?? "");
        const endpointSocket = net.connect(port, host, () => {
            socket.write("HTTP/1.1 200 Connected\r\n\r\n");
            socket.pipe(endpointSocket).pipe(socket);
        });
        socket.on("error", () => endpointSocket.destroy());
        endpointSocket.on("error", () => socket.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => server.close() };
};
