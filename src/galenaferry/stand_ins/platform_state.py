"""State of the simulated platform: table, objects, VM list and faults."""

from copy import deepcopy
from typing import Any

from ..membership.vm_list import VmChange, VmRow
from ..network.json_server import JsonRequest, JsonResponse

MAX_KEPT_CHANGES = 1000
"""Changes kept per region; a reader further behind receives all rows."""


class _RegionVmList:
    """The VM list of one region with its latest changes."""

    def __init__(self) -> None:
        self.row_by_address: dict[str, VmRow] = {}
        self.changes: list[VmChange] = []
        self.revision = 0

    def set_row(self, address: str, row: VmRow | None) -> None:
        """Add or replace the row of an address; None removes it."""
        self.revision += 1
        self.changes.append(VmChange(self.revision, address, row))
        del self.changes[:-MAX_KEPT_CHANGES]
        if row is None:
            self.row_by_address.pop(address, None)
        else:
            self.row_by_address[address] = row

    def delta_or_snapshot(self, since: int) -> dict[str, Any]:
        """Return the changes since a revision, or all rows if some were discarded.

        Revision 0 stands for a reader without any rows.
        """
        oldest_revision = (
            self.changes[0].revision if self.changes else self.revision + 1
        )
        if since + 1 >= oldest_revision and since > 0:
            newer = [change for change in self.changes if change.revision > since]
            return {"revision": self.revision, "changes": newer}
        rows = list(self.row_by_address.values())
        return {"revision": self.revision, "rows": rows}


class PlatformState:
    """Data of the platform, kept in memory, and its injected faults.

    ``POST /faults`` sets the faults: ``down`` responds 503 to all requests but
    ``POST /faults`` and ``GET /counters``, ``lose_answers`` is a number of
    transactions that are committed but get a 503, and ``lag_rows`` keeps serving the
    VM list as it was when the fault was set, until it is set to false.

    ``row_by_key`` holds the value of each table row and the revision at which it was
    written; ``revision`` is that of the latest transaction.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[str, tuple[str, int]] = {}
        self.object_by_name: dict[str, str] = {}
        self.list_by_region: dict[str, _RegionVmList] = {}
        self.revision = 0
        self.is_down = False
        self.commit_responses_to_lose = 0
        self.frozen_lists: dict[str, _RegionVmList] | None = None
        self.reads = 0
        self.writes = 0

    def respond(self, request: JsonRequest) -> JsonResponse:
        """Handle one request and return the response."""
        route = f"{request.method} {request.path}"
        if route == "POST /faults":
            return self._set_faults(request.body or {})
        if route == "GET /counters":
            return JsonResponse(200, {"reads": self.reads, "writes": self.writes})
        if self.is_down:
            return JsonResponse(503, {"error": "down"})
        match route:
            case "GET /table/rows":
                return self._get_row(request.query.get("key", ""))
            case "GET /table/scan":
                return self._scan(request.query)
            case "POST /table/transactions":
                return self._commit(request.body or {})
            case "GET /objects":
                return self._get_object(request.query.get("name", ""))
            case "PUT /objects":
                self.object_by_name[request.query["name"]] = request.raw_body.decode()
                return JsonResponse(200, {})
            case "GET /vms":
                return self._list_vms(request.query)
            case "PUT /vms":
                return self._put_vm(request.body)
            case "DELETE /vms":
                return self._delete_vm(request.query["address"])
        return JsonResponse(404, {"error": f"unknown path {request.path}"})

    def put_vm(self, row: VmRow) -> None:
        """Add or replace a row of the VM list."""
        region = self.list_by_region.setdefault(row.region, _RegionVmList())
        region.set_row(row.address, row)

    def _set_faults(self, faults: dict[str, Any]) -> JsonResponse:
        self.is_down = bool(faults.get("down", self.is_down))
        self.commit_responses_to_lose = int(
            faults.get("lose_answers", self.commit_responses_to_lose)
        )
        if "lag_rows" in faults:
            copy = deepcopy(self.list_by_region)
            self.frozen_lists = copy if faults["lag_rows"] else None
        return JsonResponse(200, {})

    def _get_row(self, key: str) -> JsonResponse:
        self.reads += 1
        row = self.row_by_key.get(key)
        if row is None:
            return JsonResponse(404, {"error": "no such row"})
        return JsonResponse(200, {"key": key, "value": row[0], "revision": row[1]})

    def _scan(self, query: dict[str, str]) -> JsonResponse:
        self.reads += 1
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.row_by_key if key.startswith(prefix) and key > after
        )
        rows = [
            {
                "key": key,
                "value": self.row_by_key[key][0],
                "revision": self.row_by_key[key][1],
            }
            for key in keys[: int(query.get("limit", "100"))]
        ]
        return JsonResponse(200, {"rows": rows})

    def _commit(self, body: dict[str, Any]) -> JsonResponse:
        """Write rows if all conditions hold, else respond 409.

        A condition is a key and the expected revision of its row, 0 for no row.
        """
        self.writes += 1
        for key, revision in body.get("conditions", ()):
            if self.row_by_key.get(key, ("", 0))[1] != revision:
                return JsonResponse(409, {"conflict": key})
        self.revision += 1
        for key, value in body.get("puts", ()):
            self.row_by_key[key] = (value, self.revision)
        if self.commit_responses_to_lose > 0:
            self.commit_responses_to_lose -= 1
            return JsonResponse(503, {"error": "the answer was lost"})
        return JsonResponse(200, {"revision": self.revision})

    def _get_object(self, name: str) -> JsonResponse:
        self.reads += 1
        text = self.object_by_name.get(name)
        if text is None:
            return JsonResponse(404, {"error": "no such object"})
        return JsonResponse(200, text)

    def _list_vms(self, query: dict[str, str]) -> JsonResponse:
        self.reads += 1
        lists = self.frozen_lists or self.list_by_region
        region = lists.get(query.get("region", ""), _RegionVmList())
        return JsonResponse(200, region.delta_or_snapshot(int(query.get("since", "0"))))

    def _put_vm(self, body: dict[str, str]) -> JsonResponse:
        self.put_vm(VmRow(**body))
        return JsonResponse(200, {})

    def _delete_vm(self, address: str) -> JsonResponse:
        for region in self.list_by_region.values():
            if address in region.row_by_address:
                region.set_row(address, None)
        return JsonResponse(200, {})
