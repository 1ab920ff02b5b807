"""A simulated store of objects with revisions."""

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.object_api import ABSENT, ObjectApi
from lacewingdock.platform.objects import StoredObject


class Store:
    """A simulated store with objects of any kind."""

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.fails = False

    def _put(self, kind, name, expect, **changes):
        if self.fails:
            raise LacewingdockError(ErrorKind.PLATFORM_UNAVAILABLE, "away")
        known = self.objects.get((kind, name))
        if (known.revision if known else ABSENT) != expect:
            return False, known or StoredObject(name, ABSENT)
        self.revision += 1
        fields = {"spec": known.spec, "status": known.status} if known else {}
        stored = StoredObject(name, self.revision, **fields | changes)
        self.objects[kind, name] = stored
        return True, stored

    def write(self, kind, name, spec, expect, _):
        """Write an object's spec."""
        return self._put(kind, name, expect, spec=spec)

    overwrite = ObjectApi.overwrite

    def write_status(self, kind, name, status, expect, _):
        """Write an object's status."""
        return self._put(kind, name, expect, status=status)

    def remove(self, kind, name, expect, _):
        """Remove an object."""
        if self.fails:
            raise LacewingdockError(ErrorKind.PLATFORM_UNAVAILABLE, "away")
        known = self.objects.get((kind, name))
        if known is not None and known.revision != expect:
            return False
        self.objects.pop((kind, name), None)
        return True
